//! A fake peer daemon that only sends reports by datagram.

use std::{
    net::{SocketAddr, UdpSocket},
    thread,
    time::Duration,
};

use medlarspool_hop::Report;
use medlarspool_mesh::{AnnouncedState, PeerRecord, ReportedCrash, TargetLoad, TargetRecord};

/// The interval between reports, which is shorter than a real daemon's.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// The maximum number of reports, so that a failing test ends.
const MAX_REPORTS: u64 = 100;

/// What the fake daemon reports of itself.
pub struct FakePeer {
    pub address: SocketAddr,
    /// The crashes that it reports.
    pub crashes: Vec<ReportedCrash>,
    pub service: &'static str,
    pub target: &'static str,
}

impl FakePeer {
    /// Sends reports to a daemon from the address `from` until `stopped` returns true.
    pub fn send_reports(&self, from: SocketAddr, to: SocketAddr, stopped: impl Fn() -> bool) {
        let socket = UdpSocket::bind(from).unwrap();
        // Higher report numbers than those of a real daemon at the same address, so that these are not ignored.
        for report_number in 1_000_000..1_000_000 + MAX_REPORTS {
            if stopped() {
                return;
            }
            socket.send_to(&self.encode(report_number), to).unwrap();
            thread::sleep(REPORT_INTERVAL);
        }
    }

    fn encode(&self, report_number: u64) -> Vec<u8> {
        let target = TargetRecord {
            born_ms: 1,
            id: self.target.into(),
            sequence: 1,
            service: self.service.into(),
            slots: 6,
            state: AnnouncedState::Ready,
            version: "".into(),
        };
        let sender = PeerRecord {
            address: self.address,
            availability_zone: "za-1a".into(),
            config_version: 1,
            // The latest one that a report may have: a real daemon at the same address that learns of a later incarnation
            // than its own takes the next one, and its reports would then replace these.
            incarnation: TargetRecord::MAX_START_MS,
            load: TargetLoad::default(),
            can_relay_config: false,
            relays_config: false,
            report_number,
            serving: true,
            target: Some(target),
        };
        Report {
            crashes: self.crashes.clone(),
            ..Report::of(sender)
        }
        .encode()
    }
}
