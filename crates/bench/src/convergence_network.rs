use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use medlarspool_proto::Datagram;
use medlarspool_spread::{LinkClass, SpreadPeer};
use medlarspool_types::Address;
use tokio::{net::UdpSocket, sync::mpsc::UnboundedSender};

use crate::{ConvergenceFaults, convergence_command::ConvergenceCommand};

/// The one-way delay between two availability zones of a region.
const BETWEEN_ZONES_DELAY: Duration = Duration::from_millis(1);
/// The one-way delay between two regions.
const BETWEEN_REGIONS_DELAY: Duration = Duration::from_millis(40);
/// The bytes of a transfer's request and of the headers in both directions.
const TRANSFER_OVERHEAD_BYTES: usize = 400;
/// The bytes of the TCP and IP headers of each segment.
const SEGMENT_OVERHEAD_BYTES: usize = 40;
/// The payload of one TCP segment.
const SEGMENT_PAYLOAD_BYTES: usize = 1_448;

/// A running daemon, to which commands can be sent.
#[derive(Clone, Debug)]
struct ReachableDaemon {
    commands: UnboundedSender<ConvergenceCommand>,
    peer: SpreadPeer,
}

/// The simulated network between the daemons of one fleet, which counts bytes and injects faults.
#[derive(Debug, Default)]
pub struct ConvergenceNetwork {
    bytes: [AtomicU64; LinkClass::ALL.len()],
    faults: Mutex<ConvergenceFaults>,
    daemons: Mutex<HashMap<Address, ReachableDaemon>>,
}

impl ConvergenceNetwork {
    /// Returns the bytes sent over a class of link, including headers.
    pub fn bytes(&self, link: LinkClass) -> u64 {
        self.bytes[link as usize].load(Ordering::Relaxed)
    }

    /// Sets the faults that apply from now on.
    pub fn set_faults(&self, faults: ConvergenceFaults) {
        *lock(&self.faults) = faults;
    }

    /// Adds to the bytes sent over a class of link.
    pub(crate) fn count_bytes(&self, link: LinkClass, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.bytes[link as usize].fetch_add(bytes, Ordering::Relaxed);
    }

    /// Counts a payload sent over TCP, with the headers of the request and of each segment.
    pub(crate) fn count_stream_bytes(&self, link: LinkClass, payload: usize) {
        let segments = 2 + payload.div_ceil(SEGMENT_PAYLOAD_BYTES);
        let overhead = TRANSFER_OVERHEAD_BYTES + segments * SEGMENT_OVERHEAD_BYTES;
        self.count_bytes(link, payload + overhead);
    }

    pub(crate) fn add_daemon(
        &self,
        peer: SpreadPeer,
        commands: UnboundedSender<ConvergenceCommand>,
    ) {
        lock(&self.daemons).insert(peer.address, ReachableDaemon { commands, peer });
    }

    pub(crate) fn remove_daemon(&self, address: Address) {
        lock(&self.daemons).remove(&address);
    }

    /// Returns the sender of commands to the daemon at an address, or `None` if it isn't running or is
    /// partitioned from `from`.
    pub(crate) fn reachable_daemon(
        &self,
        from: &SpreadPeer,
        address: Address,
    ) -> Option<UnboundedSender<ConvergenceCommand>> {
        let daemon = lock(&self.daemons).get(&address).cloned()?;
        let faults = lock(&self.faults);
        (!is_cut_off(&faults, from, &daemon.peer)).then_some(daemon.commands)
    }

    /// Returns whether a daemon can reach the store, which a partitioned zone can't.
    pub(crate) fn can_reach_store(&self, from: &SpreadPeer) -> bool {
        lock(&self.faults).cut_zone.as_ref() != Some(&from.availability_zone)
    }

    /// Sends a datagram over a link; the faults decide whether it is delayed, duplicated or lost.
    pub(crate) fn send(
        &self,
        from: &SpreadPeer,
        socket: &Arc<UdpSocket>,
        address: Address,
        link: LinkClass,
        datagram: &Arc<[u8]>,
    ) {
        self.count_bytes(link, datagram.len() + Datagram::IP_UDP_HEADER_BYTES);
        if self.reachable_daemon(from, address).is_none() {
            return;
        }
        let faults = lock(&self.faults).clone();
        let copies = if fastrand::f64() < faults.lost_share {
            0
        } else {
            1 + usize::from(fastrand::f64() < faults.duplicated_share)
        };
        for _ in 0..copies {
            let delay = link_delay(link) + faults.max_delay.mul_f64(fastrand::f64());
            let datagram = Arc::clone(datagram);
            let socket = Arc::clone(socket);
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                // A full socket buffer drops the datagram, as a real network may.
                let _ = socket.send_to(&datagram, address).await;
            });
        }
    }
}

/// Returns the one-way delay of a class of link.
pub(crate) const fn link_delay(link: LinkClass) -> Duration {
    match link {
        LinkClass::BetweenRegions => BETWEEN_REGIONS_DELAY,
        LinkClass::BetweenZones => BETWEEN_ZONES_DELAY,
        LinkClass::SameZone | LinkClass::Store => Duration::ZERO,
    }
}

fn is_cut_off(faults: &ConvergenceFaults, one: &SpreadPeer, other: &SpreadPeer) -> bool {
    faults
        .cut_zone
        .as_ref()
        .is_some_and(|cut| (one.availability_zone == *cut) != (other.availability_zone == *cut))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
