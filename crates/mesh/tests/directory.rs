//! Which daemons count as alive, in small and in large fleets, and which ones the configuration is fetched from.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use medlarspool_mesh::{Directory, PeerRecord, TargetLoad};
use rstest::rstest;

const REPORT_INTERVAL: Duration = Duration::from_millis(500);

fn record(port: u16, report_number: u64) -> PeerRecord {
    PeerRecord {
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        config_version: 0,
        relays_config: false,
        availability_zone: "za-1a".into(),
        incarnation: 1,
        load: TargetLoad::default(),
        report_number,
        serving: true,
        target: None,
    }
}

#[rstest]
#[case(16)]
#[case(80)]
#[case(303)]
fn daemons_that_report_in_batches_stay_alive(#[case] daemon_count: u16) {
    let start = Instant::now();
    let mut directory = Directory::new("za-1a".into());
    for port in 0..daemon_count {
        directory.receive_report(start, record(port, 1));
    }
    let batch_count = u32::try_from(directory.report_batch_count()).unwrap();
    // Two of three reports are lost.
    let later = start + REPORT_INTERVAL * batch_count * 3;
    assert_eq!(directory.alive_count(later), usize::from(daemon_count));
}

#[rstest]
#[case(16)]
#[case(303)]
fn an_unreachable_daemon_is_not_alive_until_its_next_report(#[case] daemon_count: u16) {
    let start = Instant::now();
    let mut directory = Directory::new("za-1a".into());
    for port in 0..daemon_count {
        directory.receive_report(start, record(port, 1));
    }
    let address = record(3, 1).address;
    directory.mark_unreachable(start, address);
    assert!(!directory.is_alive(start + REPORT_INTERVAL, address));
    directory.receive_report(start + REPORT_INTERVAL, record(3, 2));
    assert!(directory.is_alive(start + REPORT_INTERVAL, address));
}

#[test]
fn a_silent_daemon_is_not_alive() {
    let start = Instant::now();
    let mut directory = Directory::new("za-1a".into());
    directory.receive_report(start, record(3, 1));
    assert!(!directory.is_alive(start + REPORT_INTERVAL * 4, record(3, 1).address));
}

/// Returns a daemon's report with a version of the configuration.
fn with_config(port: u16, version: u64, relays_config: bool, zone: &str) -> PeerRecord {
    PeerRecord {
        availability_zone: zone.into(),
        config_version: version,
        relays_config,
        ..record(port, 1)
    }
}

#[rstest]
#[case::own_zone_first(&[(1, 5, true, "za-1b"), (2, 5, true, "za-1a")], 4, Some(2))]
#[case::relay_before_others(&[(1, 5, false, "za-1a"), (2, 5, true, "za-1b")], 4, Some(2))]
#[case::no_relay_has_a_newer_one(&[(1, 5, false, "za-1a"), (2, 4, true, "za-1a")], 4, Some(1))]
#[case::none_has_a_newer_one(&[(1, 5, true, "za-1a")], 5, None)]
fn a_newer_configuration_is_fetched_from_the_preferred_peer(
    #[case] peers: &[(u16, u64, bool, &str)],
    #[case] own_version: u64,
    #[case] expected_port: Option<u16>,
) {
    let now = Instant::now();
    let mut directory = Directory::new("za-1a".into());
    for (port, version, relays_config, zone) in peers {
        directory.receive_report(now, with_config(*port, *version, *relays_config, zone));
    }
    let address = expected_port.map(|port| record(port, 1).address);
    assert_eq!(directory.config_holder(now, own_version, &[]), address);
    let asked_peers: Vec<_> = address.into_iter().collect();
    assert_ne!(
        directory
            .config_holder(now, own_version, &asked_peers)
            .or(Some(record(99, 1).address)),
        address
    );
}

#[test]
fn a_silent_relay_is_noticed_before_a_change_must_be_in_force() {
    let now = Instant::now();
    let mut directory = Directory::new("za-1a".into());
    directory.receive_report(now, with_config(1, 5, true, "za-1b"));
    directory.receive_report(now, with_config(2, 5, false, "za-1a"));
    assert!(directory.has_recent_relay(now + REPORT_INTERVAL));
    assert!(!directory.has_recent_relay(now + REPORT_INTERVAL * 2));
}

#[rstest]
#[case::own_zone("za-1a", false, true)]
#[case::relayed_zone("za-1b", false, false)]
#[case::zone_without_relay("za-1c", false, true)]
#[case::another_relay("za-1a", true, false)]
fn a_relay_reports_to_its_followers_at_every_interval(
    #[case] zone: &str,
    #[case] relays_config: bool,
    #[case] expected: bool,
) {
    let now = Instant::now();
    let mut directory = Directory::new("za-1a".into());
    directory.receive_report(now, with_config(1, 5, true, "za-1b"));
    directory.receive_report(now, with_config(2, 5, relays_config, zone));
    assert_eq!(directory.is_follower(now, record(2, 1).address), expected);
}
