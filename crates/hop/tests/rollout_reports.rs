//! What reports tell of rollouts, and how long they become.

use std::time::Duration;

use medlarspool_hop::Report;
use medlarspool_mesh::{
    AnnouncedState, CrashEvidence, PeerRecord, ReportedCrash, RolloutOrder, RolloutState,
    RolloutStatus, RouteKey, StoreEra, StorePosition, TargetEvidence, TargetLoad, TargetRecord,
};

use rstest::rstest;

fn sender(version: &str) -> PeerRecord {
    PeerRecord {
        availability_zone: "za-west-1a".into(),
        config_version: 812,
        address: "10.211.120.108:18310".parse().unwrap(),
        can_relay_config: true,
        incarnation: 1_790_000_000_000,
        relays_config: true,
        report_number: 100_000,
        serving: true,
        load: TargetLoad::default(),
        target: Some(TargetRecord {
            born_ms: 1_790_000_000_000,
            id: "i-10.211.120.108-1790000000000".into(),
            sequence: 900,
            service: "huvo11a".into(),
            slots: 6,
            state: AnnouncedState::Ready,
            version: version.into(),
        }),
    }
}

fn status(number: u64, state: RolloutState) -> RolloutStatus {
    RolloutStatus {
        age: Duration::from_millis(3_217),
        is_stored: state != RolloutState::Running,
        order: RolloutOrder {
            duration: Duration::from_secs_f64(12.345),
            position: StorePosition {
                era: StoreEra(3),
                version: 40_000 + number,
            },
            service: format!("huvo1{number}a").into(),
            to: "v2".into(),
        },
        share_per_mille: 550,
        state,
    }
}

fn evidence(route_count: u64, runs: u32) -> TargetEvidence {
    let sender = sender("v2");
    let target = sender.target.unwrap();
    let mut evidence = TargetEvidence::new(target.id, target.born_ms, target.version);
    for route in 0..route_count {
        for run in 0..runs {
            let run_time = Duration::from_millis(1 << (run % 13));
            evidence.record(RouteKey(u64::MAX - route), run_time, run % 3 == 0);
        }
    }
    evidence
}

/// Guards against an order that two daemons take for different ones, since a report changed it.
#[test]
fn statuses_evidence_and_version_arrive_as_they_were_sent() {
    let states = [
        RolloutState::Completed,
        RolloutState::RolledBack,
        RolloutState::Running,
    ];
    let report = Report {
        decides_in: Duration::from_millis(700),
        evidence: Some(evidence(3, 40)),
        knows_rollouts: true,
        rollouts: (0..).zip(states).map(|(n, s)| status(n, s)).collect(),
        ..Report::of(sender("v2"))
    };
    assert_eq!(Report::decode(&report.encode()).unwrap(), report);
}

/// Guards against evidence that looks old since a target has run nothing yet.
#[test]
fn a_target_that_ran_nothing_has_evidence_without_runs() {
    let report = Report {
        evidence: Some(evidence(0, 0)),
        ..Report::of(sender("v2"))
    };
    assert_eq!(Report::decode(&report.encode()).unwrap(), report);
}

/// Guards against more traffic in deployments without rollouts.
#[test]
fn a_report_without_rollouts_has_no_further_bytes() {
    let fields = |bytes: &[u8]| Report::decode(bytes).unwrap();
    let plain = Report::of(sender("")).encode();
    assert!(fields(&plain).rollouts.is_empty());
    let with_version = Report::of(sender("v2")).encode();
    assert_eq!(plain.len() + "v2".len() + 2, with_version.len());
}

/// Returns as many crashes as a report has room for: 18 requests each at two, or one each at many.
fn crashes(requests_per_crash: u64) -> Vec<ReportedCrash> {
    let count = 40 / (requests_per_crash + 2) * requests_per_crash;
    let crash = |index| ReportedCrash {
        age: Duration::from_hours(20),
        evidence: CrashEvidence::Sole,
        fingerprint: u64::MAX - index,
        id: u64::MAX - index / requests_per_crash,
    };
    (0..count).map(crash).collect()
}

/// Guards against requests that crash targets and are told with the crashes of others.
#[rstest]
#[case(1)]
#[case(18)]
fn crashes_are_told_with_what_they_say_about_each_request(#[case] requests_per_crash: u64) {
    let report = Report {
        crashes: crashes(requests_per_crash),
        ..Report::of(sender("v2"))
    };
    let encoded = report.encode();
    let without = Report::of(sender("v2")).encode();
    assert!(encoded.len() - without.len() <= 400, "{}", encoded.len());
    assert_eq!(Report::decode(&encoded).unwrap(), report);
}

/// Guards against a datagram that the receive buffer cuts off, which would lose the whole report.
#[test]
fn the_longest_report_fits_into_a_receive_buffer() {
    let report = Report {
        crashes: crashes(1),
        evidence: Some(evidence(24, 20_000)),
        known_peers: vec!["10.211.120.108:18310".parse().unwrap(); 2],
        receiver_target: sender("v1").target,
        receiver_incarnation: 1_790_000_000_000,
        rollouts: (0..4).map(|n| status(n, RolloutState::Running)).collect(),
        store_era: Some(StoreEra(3)),
        ..Report::of(sender("v2"))
    };
    let encoded = report.encode();
    assert!(encoded.len() <= Report::MAX_BYTES, "{}", encoded.len());
    let decoded = Report::decode(&encoded).unwrap();
    assert_eq!(decoded.rollouts, report.rollouts);
    assert!(decoded.evidence.unwrap().routes.len() >= 12);
}

/// Guards against a panic on a report that was cut off on the way.
#[test]
fn a_report_that_was_cut_off_is_an_error_or_another_report() {
    let report = Report {
        rollouts: vec![status(0, RolloutState::Completed)],
        evidence: Some(evidence(2, 9)),
        ..Report::of(sender("v2"))
    };
    let encoded = report.encode();
    for length in 0..encoded.len() {
        // Decoding must not panic, whatever it makes of the bytes.
        if let Ok(decoded) = Report::decode(&encoded[..length]) {
            assert_ne!(decoded, report);
        }
    }
}
