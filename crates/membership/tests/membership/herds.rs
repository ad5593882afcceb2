//! Herds and storms under a clock that tests move: counts of requests, reads, writes and bytes.

use std::time::Duration;

use medlarspool_membership::MembershipEvent;

use crate::fleet::Fleet;

/// The bytes that control may take of a daemon each second.
const CONTROL_BYTES_PER_S: usize = 18_000;

/// The share of that which membership may take while nothing changes.
const STEADY_SHARE: usize = 3;

/// The most that a daemon may take while a herd returns, as a multiple of what control may take.
const HERD_MULTIPLE: usize = 2;

/// The pages of state that a daemon may be asked for each second while a herd returns.
const REQUESTS_PER_S: usize = 40;

/// The protocol periods within which views agree after a herd.
const PERIODS_TO_AGREE: u32 = 120;

/// What a fleet spent from one moment on.
struct Spent {
    bytes_most: usize,
    bytes_total: usize,
    messages_total: usize,
    reads: usize,
    requests_most: usize,
    seconds: usize,
    writes: usize,
}

/// Runs a fleet until its views agree, or for a time, and returns what that took.
fn spend(fleet: &mut Fleet, run: impl FnOnce(&mut Fleet)) -> Spent {
    for place in &mut fleet.places {
        place.sent_bytes = 0;
        place.sent_messages = 0;
    }
    fleet.pages_to.clear();
    let began = fleet.now;
    let (reads, writes) = (fleet.store_reads, fleet.store_writes);
    run(fleet);
    let bytes = fleet.places.iter().map(|place| place.sent_bytes);
    let messages = fleet.places.iter().map(|place| place.sent_messages);
    let seconds = (fleet.now - began).as_secs().max(1);
    Spent {
        bytes_most: bytes.clone().max().unwrap_or_default(),
        bytes_total: bytes.sum(),
        messages_total: messages.sum(),
        reads: fleet.store_reads - reads,
        requests_most: fleet.pages_to.values().copied().max().unwrap_or_default(),
        seconds: usize::try_from(seconds).unwrap(),
        writes: fleet.store_writes - writes,
    }
}

fn until_agreed(fleet: &mut Fleet) {
    let agreed = fleet.periods_until(PERIODS_TO_AGREE, Fleet::agrees);
    assert!(agreed.is_some(), "{}", fleet.describe());
}

fn assert_no_storm(spent: &Spent, herd: usize) {
    assert!(spent.bytes_most / spent.seconds <= HERD_MULTIPLE * CONTROL_BYTES_PER_S);
    assert!(spent.requests_most / spent.seconds <= REQUESTS_PER_S);
    assert!(spent.reads <= 8 * herd, "{} reads", spent.reads);
    assert!(spent.writes <= herd, "{} writes", spent.writes);
}

fn return_without_storm(fleet: &mut Fleet, herd: &[usize]) {
    let spent = spend(fleet, |fleet| {
        for place in herd {
            fleet.begin(*place);
        }
        until_agreed(fleet);
    });
    assert_no_storm(&spent, herd.len());
}

fn kill_zone(fleet: &mut Fleet) -> Vec<usize> {
    let zones = fleet.zones;
    let herd: Vec<usize> = (0..fleet.places.len()).step_by(zones).collect();
    for place in &herd {
        fleet.crash(*place);
    }
    herd
}

#[test]
fn steady_cost_of_a_member_does_not_grow_with_the_fleet() {
    for size in [12, 25, 50, 100] {
        let mut fleet = Fleet::settled(size, 3, 1);
        fleet.checked = false;
        fleet.run(Duration::from_secs(30));
        let spent = spend(&mut fleet, |fleet| fleet.run(Duration::from_secs(30)));
        let member_seconds = size * spent.seconds;
        let messages = spent.messages_total / member_seconds;
        let bytes = 2 * spent.bytes_total / member_seconds;
        assert!(messages <= 4, "{messages} datagrams a second at {size}");
        assert!(
            bytes <= CONTROL_BYTES_PER_S / STEADY_SHARE,
            "{bytes} at {size}"
        );
    }
}

#[test]
fn a_zone_dies_and_returns_at_once() {
    let mut fleet = Fleet::settled(60, 3, 2);
    fleet.checked = false;
    let herd = kill_zone(&mut fleet);
    until_agreed(&mut fleet);
    return_without_storm(&mut fleet, &herd);
}

#[test]
fn a_zone_returns_while_the_store_is_down() {
    let mut fleet = Fleet::settled(60, 3, 3);
    fleet.checked = false;
    fleet.store_up = false;
    let herd = kill_zone(&mut fleet);
    until_agreed(&mut fleet);
    return_without_storm(&mut fleet, &herd);
}

#[test]
fn all_restart_together_with_the_store_slow() {
    let mut fleet = Fleet::settled(60, 3, 4);
    fleet.checked = false;
    fleet.store_delay = Duration::from_secs(3);
    for place in 0..60 {
        fleet.crash(place);
    }
    let spent = spend(&mut fleet, |fleet| {
        for place in 0..60 {
            fleet.begin(place);
        }
        until_agreed(fleet);
    });
    assert_no_storm(&spent, 60);
}

#[test]
fn regions_that_meet_after_an_hour_kill_nobody() {
    let mut fleet = Fleet::settled(30, 3, 5);
    fleet.checked = false;
    for place in 0..30 {
        fleet.groups[place] = place % 2;
    }
    fleet.run(Duration::from_hours(1));
    let deaths = |fleet: &Fleet| -> u64 {
        let counters = (0..30).map(|place| fleet.core(place).counters());
        counters.map(|counters| counters.deaths_found).sum()
    };
    let before = deaths(&fleet);
    fleet.groups.fill(0);
    let spent = spend(&mut fleet, until_agreed);
    assert_no_storm(&spent, 30);
    assert_eq!(deaths(&fleet), before);
}

#[test]
fn regions_that_meet_while_deaths_are_still_told_kill_nobody() {
    for seed in 0..6 {
        let mut fleet = Fleet::settled(30, 3, seed);
        fleet.checked = false;
        for place in 0..30 {
            fleet.groups[place] = place % 2;
        }
        let is_apart = |fleet: &Fleet| (0..30).all(|place| fleet.core(place).living_count() == 15);
        assert!(fleet.periods_until(PERIODS_TO_AGREE, is_apart).is_some());
        fleet.groups.fill(0);
        let held_dead = |fleet: &Fleet| {
            let viewers = (0..30).flat_map(|viewer| (0..30).map(move |subject| (viewer, subject)));
            let same_side = viewers.filter(|(viewer, subject)| viewer % 2 == subject % 2);
            let dead = Some(medlarspool_membership::MemberState::Dead);
            same_side
                .filter(|(viewer, subject)| fleet.state(*viewer, *subject) == dead)
                .count()
        };
        for _ in 0..600 {
            fleet.run(Duration::from_millis(100));
            assert_eq!(held_dead(&fleet), 0, "seed {seed}");
        }
        assert!(fleet.agrees(), "{}", fleet.describe());
    }
}

#[test]
fn a_planned_stop_of_a_third_is_heard_everywhere_within_three_seconds() {
    let mut fleet = Fleet::settled(60, 3, 6);
    fleet.checked = false;
    fleet.lost_percent = 10;
    for place in (0..60).step_by(3) {
        fleet.event(place, MembershipEvent::Leave);
    }
    fleet.run(Duration::from_secs(3));
    for viewer in 0..60 {
        for subject in (0..60).step_by(3) {
            let state = fleet.state(viewer, subject).unwrap();
            assert_eq!(state, medlarspool_membership::MemberState::Leaving);
        }
    }
}
