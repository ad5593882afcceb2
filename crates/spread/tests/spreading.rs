//! Single failures in the dissemination of changes, with a simulated clock and counted messages and reads.

mod fleet;

use std::time::{Duration, Instant};

use fleet::{Fleet, Node};
use medlarspool_spread::{
    FetchOutcome, FetchSource, LinkClass, Readiness, Refusal, Spread, SpreadAction, SpreadEvent,
    SpreadMode, SpreadPreference, SpreadSettings,
};
use medlarspool_types::{ConfigDigest, ConfigHead, ConfigVersion};
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

/// Builds a fleet in which every daemon holds the same version, confirmed by the store.
fn settled_fleet(daemon_count: usize, zone_count: usize, settings: SpreadSettings) -> Fleet {
    let mut fleet = Fleet::new(daemon_count, zone_count, settings, 7);
    fleet.store.commit();
    fleet.run(10 * SECOND);
    let head = fleet.store.head();
    assert!(fleet.all_hold(head));
    assert!(
        fleet
            .live()
            .all(|node| node.readiness() == Readiness::ReadyByStore)
    );
    fleet
}

#[rstest]
#[case::convergence(SpreadPreference::Convergence)]
#[case::control_bytes(SpreadPreference::ControlBytes)]
fn a_change_reaches_every_daemon_within_5_s(#[case] preference: SpreadPreference) {
    let mut fleet = settled_fleet(60, 6, SpreadSettings::for_preference(preference));
    for _ in 0..20 {
        let head = fleet.store.commit();
        fleet.run(5 * SECOND);
        assert!(fleet.all_hold(head));
    }
}

#[rstest]
#[case::daemons_12(12)]
#[case::daemons_120(120)]
fn reads_of_the_store_do_not_grow_with_the_fleet(#[case] daemon_count: usize) {
    let settings = SpreadSettings::default();
    let budget = u64::from(settings.store_reads_per_second);
    let mut fleet = settled_fleet(daemon_count, 4, settings);
    let before = fleet.store.head_read_count;
    fleet.run(60 * SECOND);
    let read_count = fleet.store.head_read_count - before;
    assert!(read_count <= 60 * budget * 5 / 4, "{read_count} reads");
}

#[rstest]
#[case::daemons_24(24)]
#[case::daemons_240(240)]
fn copies_over_each_link_do_not_grow_with_the_fleet(#[case] daemon_count: usize) {
    const CHANGES: u64 = 20;
    /// The most daemons that read a new head from the store before the push reaches them.
    const MAX_READERS: u64 = 3;
    let settings = SpreadSettings::for_preference(SpreadPreference::ControlBytes);
    let fan_out = settings.fan_out as u64;
    let mut fleet = settled_fleet(daemon_count, 6, settings);
    fleet.offer_counts = [0; LinkClass::ALL.len()];
    for _ in 0..CHANGES {
        fleet.store.commit();
        fleet.run(5 * SECOND);
    }
    let sent = |link| fleet.offer_counts[link as usize];
    let daemon_count = daemon_count as u64;
    assert!(sent(LinkClass::SameZone) <= CHANGES * (fan_out + 1) * daemon_count);
    let max_pushed = CHANGES * MAX_READERS;
    // Digests that cross these links while a change spreads, which takes at most a second, are answered with
    // an offer.
    let max_answered = CHANGES * daemon_count / 2;
    let between_regions = sent(LinkClass::BetweenRegions);
    assert!(
        between_regions <= max_pushed + max_answered / 8,
        "{between_regions} offers"
    );
    let between_zones = sent(LinkClass::BetweenZones);
    assert!(
        between_zones <= 4 * max_pushed + max_answered / 4,
        "{between_zones} offers"
    );
}

#[test]
fn one_read_of_the_lists_serves_the_fleet() {
    let mut fleet = settled_fleet(60, 6, SpreadSettings::default());
    let before = fleet.store.list_read_count;
    for _ in 0..10 {
        fleet.store.commit();
        fleet.run(3 * SECOND);
    }
    let read_count = fleet.store.list_read_count - before;
    assert!(
        read_count <= 30,
        "{read_count} reads of the lists for 10 changes"
    );
}

#[test]
fn a_change_that_one_daemon_read_reaches_all_while_the_store_is_down() {
    let mut fleet = settled_fleet(60, 6, SpreadSettings::default());
    let head = fleet.store.commit();
    while !fleet.live().any(|node| node.holder.head() == head) {
        fleet.run(Duration::from_millis(1));
    }
    fleet.store.down = true;
    fleet.run(5 * SECOND);
    assert!(fleet.all_hold(head));
}

#[test]
fn a_zone_that_was_cut_off_catches_up() {
    let mut fleet = settled_fleet(40, 4, SpreadSettings::default());
    fleet.faults.cut_zone = Some("zone-1".parse().unwrap());
    fleet.store.down = true;
    fleet.announce_peers();
    fleet.run(60 * SECOND);
    fleet.store.down = false;
    fleet.faults.cut_zone = None;
    fleet.announce_peers();
    let mut head = fleet.store.head();
    for _ in 0..200 {
        head = fleet.store.commit();
        fleet.run(Duration::from_millis(10));
    }
    fleet.run(5 * SECOND);
    assert!(fleet.all_hold(head));
}

#[rstest]
#[case::convergence(SpreadPreference::Convergence)]
#[case::control_bytes(SpreadPreference::ControlBytes)]
fn a_third_that_restarts_together_gets_the_lists_from_peers(#[case] preference: SpreadPreference) {
    let settings = SpreadSettings {
        join_spread: Duration::from_millis(300),
        ..SpreadSettings::for_preference(preference)
    };
    let mut fleet = settled_fleet(90, 3, settings);
    (0..30).for_each(|index| fleet.kill(index));
    let head = fleet.store.commit();
    fleet.run(5 * SECOND);
    let list_read_count_before = fleet.store.list_read_count;
    (0..30).for_each(|index| fleet.start(index));
    fleet.run(8 * SECOND);
    assert!(fleet.all_hold(head));
    assert!(fleet.live().all(|node| node.readiness().is_ready()));
    assert!(
        fleet.store.list_read_count - list_read_count_before <= 3,
        "the restarted daemons read the lists from the store"
    );
}

#[rstest]
#[case::two_zones(6, 2, Readiness::ReadyByPeers)]
#[case::one_zone(6, 1, Readiness::ReadyByOneZone)]
fn peers_confirm_a_new_process_when_the_store_is_down(
    #[case] daemon_count: usize,
    #[case] zone_count: usize,
    #[case] expected: Readiness,
) {
    let mut fleet = settled_fleet(daemon_count, zone_count, SpreadSettings::default());
    fleet.store.down = true;
    fleet.start(0);
    assert_eq!(fleet.nodes[0].readiness(), Readiness::AwaitingHead);
    fleet.run(10 * SECOND);
    assert_eq!(fleet.nodes[0].readiness(), expected);
    assert!(fleet.all_hold(fleet.store.head()));
}

#[test]
fn new_processes_do_not_confirm_each_other() {
    let mut fleet = settled_fleet(6, 2, SpreadSettings::default());
    fleet.store.down = true;
    (0..6).for_each(|index| fleet.start(index));
    fleet.run(30 * SECOND);
    assert!(
        fleet
            .live()
            .all(|node| node.readiness() == Readiness::AwaitingPeers)
    );
    fleet.store.down = false;
    fleet.run(30 * SECOND);
    assert!(fleet.live().all(|node| node.readiness().is_ready()));
}

#[test]
fn damaged_lists_are_fetched_again() {
    let mut fleet = settled_fleet(6, 2, SpreadSettings::default());
    fleet.damage(2);
    assert_eq!(fleet.nodes[2].readiness(), Readiness::Damaged);
    fleet.run(SECOND);
    assert!(fleet.nodes[2].readiness().is_ready());
    assert!(fleet.nodes[2].is_intact());
}

#[test]
fn lists_that_fail_their_checks_are_not_fetched_in_a_loop() {
    let now = Instant::now();
    let local = Node::new(0, 1).peer;
    let mut core = Spread::new(SpreadSettings::default(), local, 7, now);
    let store = FetchSource::Store;
    let head = ConfigHead {
        version: ConfigVersion(1),
        digest: ConfigDigest(1),
    };
    core.handle(now, SpreadEvent::HeadRead(head), &mut Vec::new());
    let mut fetch_count = 0;
    for second in 0..600 {
        let now = now + second * SECOND;
        let mut actions = Vec::new();
        core.handle(now, SpreadEvent::Tick, &mut actions);
        let asked = actions
            .iter()
            .any(|action| matches!(action, SpreadAction::Fetch { .. }));
        fetch_count += u32::from(asked);
        if asked || second == 0 {
            let event = SpreadEvent::Fetched {
                head,
                outcome: FetchOutcome::Refused(Refusal::Invalid),
                source: store.clone(),
            };
            core.handle(now, event, &mut Vec::new());
        }
    }
    assert!(
        (3..=10).contains(&fetch_count),
        "{fetch_count} fetches in 10 minutes"
    );
    assert_eq!(core.readiness(), Readiness::AwaitingLists);
}

#[test]
fn another_digest_of_the_held_version_is_never_applied() {
    let mut fleet = settled_fleet(6, 2, SpreadSettings::default());
    let accepted = fleet.store.head();
    let forged = ConfigHead {
        digest: ConfigDigest(1),
        ..accepted
    };
    fleet.handle_event(0, SpreadEvent::HeadRead(forged));
    assert_eq!(fleet.nodes[0].readiness(), Readiness::Conflict);
    fleet.run(2 * SECOND);
    assert_eq!(fleet.nodes[0].holder.head(), accepted);
    let head = fleet.store.commit();
    fleet.run(5 * SECOND);
    assert!(fleet.all_hold(head));
    assert!(fleet.nodes[0].readiness().is_ready());
}

#[test]
fn lost_duplicated_and_reordered_updates_arrive_within_5_s() {
    let mut fleet = settled_fleet(60, 6, SpreadSettings::default());
    fleet.faults.duplicate_probability = 0.2;
    fleet.faults.max_delay = Duration::from_millis(200);
    fleet.faults.loss_probability = 0.2;
    for _ in 0..20 {
        for _ in 0..5 {
            fleet.store.commit();
        }
        let head = fleet.store.head();
        fleet.run(5 * SECOND);
        assert!(fleet.all_hold(head));
    }
}

#[test]
fn updates_damaged_in_transit_are_fetched_from_another_source() {
    let mut fleet = settled_fleet(20, 4, SpreadSettings::default());
    fleet.faults.damage_probability = 0.5;
    let mut head = fleet.store.head();
    for _ in 0..20 {
        head = fleet.store.commit();
        fleet.run(SECOND);
    }
    fleet.run(5 * SECOND);
    assert!(fleet.all_hold(head));
}

#[test]
fn poll_mode_converges_by_reads_that_grow_with_the_fleet() {
    let settings = SpreadSettings {
        mode: SpreadMode::Poll,
        ..SpreadSettings::default()
    };
    let mut fleet = settled_fleet(60, 6, settings);
    let before = fleet.store.head_read_count;
    let head = fleet.store.commit();
    fleet.run(10 * SECOND);
    assert!(fleet.all_hold(head));
    assert!(fleet.store.head_read_count - before >= 200);
    assert_eq!(fleet.message_count, 0);
}
