//! Another daemon as the entry sees it: reports by datagram.

use std::{
    net::{SocketAddr, UdpSocket},
    thread,
    time::Duration,
};

use medlarspool_hop::Report;
use medlarspool_mesh::{AnnouncedState, PeerRecord, TargetLoad, TargetRecord};

/// How often it reports, which is more often than a daemon does.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// The most reports: a test that goes wrong ends, too.
const MAX_REPORTS: u64 = 100;

/// What a fake daemon says of itself.
pub struct FakePeer {
    pub address: SocketAddr,
    /// Fingerprints and ids of crashes.
    pub crashes: Vec<(u64, u64)>,
    pub service: &'static str,
    pub target: &'static str,
}

impl FakePeer {
    /// Reports to a daemon until `ended`, from an address of its own.
    pub fn send_reports(&self, from: SocketAddr, to: SocketAddr, stopped: impl Fn() -> bool) {
        let socket = UdpSocket::bind(from).unwrap();
        // Higher numbers than those of a real daemon at the same address.
        for number in 1_000_000..1_000_000 + MAX_REPORTS {
            if stopped() {
                return;
            }
            socket.send_to(&self.encode(number), to).unwrap();
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
        };
        let sender = PeerRecord {
            address: self.address,
            availability_zone: "za-1a".into(),
            config_version: 1,
            // Later than any life that starts while the test runs.
            incarnation: u64::MAX / 2,
            load: TargetLoad::default(),
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
