//! Tests of single scenarios: which changes daemons detect, and within how many protocol periods.

use std::time::Duration;

use crate::fleet::{Fleet, address, instance};
use medlarspool_membership::{MemberState, MemberUpdate, MembershipEvent, Message, UpstreamState};
use medlarspool_types::{Incarnation, ServiceName};
use rstest::rstest;

const SERVICE: &str = "sky-map";

/// The protocol periods within which up to four daemons of one availability zone find each other from an
/// empty table of seed rows, derived under "Seed rows" in `docs/design/membership.md`.
const PERIODS_TO_FORM: u32 = 32;

fn service() -> ServiceName {
    SERVICE.parse().unwrap()
}

#[rstest]
#[case::three(3, 1)]
#[case::twelve(12, 3)]
#[case::fifty(50, 3)]
fn a_fleet_forms_from_an_empty_seed_table(#[case] size: usize, #[case] zone_count: usize) {
    let fleet = Fleet::converged(size, zone_count, 1);
    assert!(fleet.agrees());
}

#[rstest]
#[case::three_of_whom_none_wrote_a_row(3, 5_569_648_466_885_201_284)]
fn a_small_fleet_without_seed_rows_forms(#[case] size: usize, #[case] seed: u64) {
    let fleet = Fleet::started(size, 1, seed);
    assert_forms(fleet);
}

#[rstest]
#[case::two(2)]
#[case::three(3)]
#[case::four(4)]
fn a_small_fleet_forms_with_any_seed(#[case] size: usize) {
    for seed in 0..128 {
        assert_forms(Fleet::started(size, 1, seed));
    }
}

fn assert_forms(mut fleet: Fleet) {
    let periods = fleet.periods_until(PERIODS_TO_FORM, Fleet::agrees);
    assert!(periods.is_some(), "did not form:\n{}", fleet.describe());
}

#[rstest]
#[case::quiet(0)]
#[case::a_tenth_lost(10)]
fn a_crash_is_detected_by_all(#[case] lost_percent: u32) {
    let mut fleet = Fleet::converged(12, 3, 2);
    fleet.lost_percent = lost_percent;
    fleet.crash(5);
    assert!(fleet.periods_until(40, Fleet::agrees).is_some());
    assert_eq!(fleet.state(0, 5), Some(MemberState::Dead));
}

#[test]
fn no_living_member_is_marked_dead_while_a_tenth_is_lost() {
    let mut fleet = Fleet::converged(50, 3, 3);
    fleet.lost_percent = 10;
    fleet.checks_order = false;
    fleet.run(Duration::from_mins(2));
    let deaths: u64 = (0..50)
        .map(|index| fleet.core(index).counters().deaths_found)
        .sum();
    assert_eq!(deaths, 0);
}

#[test]
fn leaving_reaches_all_within_three_seconds_while_a_tenth_is_lost() {
    for seed in 0..8 {
        let mut fleet = Fleet::converged(50, 3, seed);
        fleet.checks_order = false;
        fleet.lost_percent = 10;
        fleet.event(7, MembershipEvent::Leave);
        fleet.run(Duration::from_secs(3));
        for viewer in 0..50 {
            assert_eq!(fleet.state(viewer, 7), Some(MemberState::Leaving), "{seed}");
        }
    }
}

#[test]
fn a_stopped_daemon_stays_listed_as_left() {
    let mut fleet = Fleet::converged(6, 2, 4);
    fleet.event(2, MembershipEvent::Leave);
    fleet.event(2, MembershipEvent::Stop);
    fleet.run(Duration::from_secs(1));
    fleet.crash(2);
    assert!(fleet.periods_until(10, Fleet::agrees).is_some());
    assert_eq!(fleet.state(0, 2), Some(MemberState::Left));
}

#[test]
fn a_paused_daemon_finds_its_lease_expired_before_it_receives_anything() {
    let mut fleet = Fleet::converged(6, 2, 5);
    assert!(fleet.core(1).lease_valid(fleet.now));
    let before = fleet.core(1).own_announcement().member.incarnation;
    fleet.pause(1, Duration::from_secs(5));
    fleet.run(Duration::from_millis(4_990));
    assert!(!fleet.core(1).lease_valid(fleet.now));
    fleet.run(Duration::from_secs(4));
    assert!(fleet.core(1).lease_valid(fleet.now));
    assert!(fleet.core(1).own_announcement().member.incarnation > before);
    assert!(fleet.periods_until(20, Fleet::agrees).is_some());
}

#[test]
fn an_isolated_daemon_loses_its_lease() {
    let mut fleet = Fleet::converged(6, 2, 6);
    fleet.sides[3] = 1;
    fleet.run(Duration::from_mins(2));
    assert!(!fleet.core(3).lease_valid(fleet.now));
    assert!(fleet.core(0).lease_valid(fleet.now));
}

#[test]
fn a_restart_after_the_clock_stepped_back_overrides_the_old_incarnation() {
    let mut fleet = Fleet::converged(6, 2, 7);
    fleet.crash(4);
    fleet.start_node_as(4, Incarnation(5));
    assert!(fleet.periods_until(60, Fleet::agrees).is_some());
    assert!(fleet.core(4).own_announcement().member.incarnation > Incarnation(5));
}

#[test]
fn a_restarted_daemon_finds_the_others_while_the_store_is_down() {
    let mut fleet = Fleet::converged(8, 2, 8);
    fleet.store_up = false;
    fleet.crash(4);
    fleet.run(Duration::from_mins(1));
    fleet.start_node(4);
    assert!(fleet.periods_until(60, Fleet::agrees).is_some());
}

#[test]
fn running_daemons_work_without_the_store() {
    let mut fleet = Fleet::converged(8, 2, 9);
    fleet.store_up = false;
    fleet.run(Duration::from_mins(10));
    assert!(fleet.agrees());
}

#[rstest]
#[case::lapsed(MembershipEvent::UpstreamLapsed, UpstreamState::Lapsed)]
#[case::leaving(MembershipEvent::UpstreamLeaving, UpstreamState::Leaving)]
#[case::refusing(MembershipEvent::UpstreamRefused, UpstreamState::Refusing)]
fn an_upstream_that_stops_is_announced_with_its_reason(
    #[case] event: MembershipEvent,
    #[case] expected: UpstreamState,
) {
    let mut fleet = Fleet::converged(6, 2, 10);
    fleet.announce_upstream(3, SERVICE, false);
    fleet.run(Duration::from_secs(3));
    assert!(
        fleet
            .core(0)
            .upstreams(&service())
            .all(|upstream| upstream.takes_work())
    );
    fleet.event(3, event);
    fleet.run(Duration::from_secs(3));
    for viewer in 0..6 {
        let core = fleet.core(viewer);
        let upstream = core.upstreams(&service()).next().unwrap();
        assert_eq!(upstream.announcement.upstream, expected);
        assert!(!upstream.takes_work());
    }
}

#[test]
fn an_upstream_that_is_leaving_is_not_revived_by_a_renewal() {
    let mut fleet = Fleet::converged(3, 1, 11);
    fleet.announce_upstream(1, SERVICE, false);
    fleet.event(1, MembershipEvent::UpstreamLeaving);
    fleet.announce_upstream(1, SERVICE, false);
    assert_eq!(
        fleet.core(1).own_announcement().upstream,
        UpstreamState::Leaving
    );
}

#[test]
fn details_are_stored_only_by_daemons_that_route_to_the_service() {
    let mut fleet = Fleet::converged(8, 2, 12);
    fleet.announce_upstream(1, SERVICE, true);
    fleet.announce_upstream(2, SERVICE, false);
    fleet.event(5, MembershipEvent::InterestBegan(service()));
    fleet.run(Duration::from_secs(20));
    let details = |fleet: &Fleet, index: usize| {
        let core = fleet.core(index);
        core.upstreams(&service())
            .filter(|upstream| upstream.detail.is_some())
            .count()
    };
    assert_eq!(
        [0, 1, 2, 5, 6].map(|index| details(&fleet, index)),
        [0, 2, 2, 2, 0]
    );
    fleet.announce_upstream(1, SERVICE, false);
    fleet.run(Duration::from_secs(20));
    let is_cold = fleet
        .core(5)
        .upstreams(&service())
        .any(|upstream| upstream.detail.is_some_and(|detail| detail.cold));
    assert!(!is_cold);
}

#[test]
fn a_refused_connection_speeds_up_the_suspicion() {
    let mut fleet = Fleet::converged(12, 3, 13);
    fleet.crash(5);
    let event = MembershipEvent::ConnectionRefused {
        instance: instance(5),
    };
    fleet.event(0, event);
    fleet.run(Duration::from_millis(1_500));
    assert_eq!(fleet.state(0, 5), Some(MemberState::Suspect));
}

#[test]
fn a_replaced_instance_at_the_same_address_displaces_the_old_one() {
    let mut fleet = Fleet::converged(4, 1, 14);
    let mut announcement = fleet.core(3).own_announcement().clone();
    announcement.member.instance = "instance-9".parse().unwrap();
    announcement.member.incarnation = announcement.member.incarnation.next();
    let event = MembershipEvent::Received {
        address: address(3),
        incarnation: announcement.member.incarnation,
        message: Message::Gossip {
            updates: vec![MemberUpdate::Announcement(announcement)],
        },
        sender: "instance-9".parse().unwrap(),
    };
    fleet.checks_order = false;
    fleet.event(0, event);
    assert_eq!(fleet.state(0, 3), Some(MemberState::Dead));
}

#[rstest]
#[case::minutes(Duration::from_mins(5))]
#[case::an_hour(Duration::from_hours(1))]
fn partitioned_regions_reconnect(#[case] separation: Duration) {
    let mut fleet = Fleet::converged(12, 2, 15);
    for index in 0..12 {
        fleet.sides[index] = index % 2;
    }
    fleet.run(separation);
    fleet.sides = vec![0; 12];
    assert!(fleet.periods_until(60, Fleet::agrees).is_some());
}

#[test]
fn a_sole_survivor_marks_all_others_dead() {
    let mut fleet = Fleet::converged(5, 1, 601_133_241_504_759_982);
    for index in [0, 1, 2, 4] {
        fleet.crash(index);
    }
    assert!(fleet.periods_until(120, Fleet::agrees).is_some());
}

#[test]
fn availability_zones_that_started_separately_find_each_other() {
    let fleet = Fleet::converged(7, 3, 6_085_097_167_228_334_048);
    assert!(fleet.agrees());
}

#[test]
fn a_restarted_daemon_whose_only_known_peer_died_finds_the_others() {
    let mut fleet = Fleet::converged(6, 1, 16);
    fleet.sides[4] = 1;
    fleet.sides[1] = 1;
    fleet.start_node(4);
    fleet.run(Duration::from_secs(30));
    fleet.crash(1);
    fleet.store_up = false;
    fleet.run(Duration::from_mins(3));
    fleet.sides.fill(0);
    assert!(fleet.periods_until(120, Fleet::agrees).is_some());
}
