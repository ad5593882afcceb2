//! Tests that many nodes failing or starting at once, here called a herd, do not overload others or the
//! store. They count requests, reads, writes and bytes under a virtual clock.

use std::time::Duration;

use medlarspool_membership::MembershipEvent;

use crate::fleet::Fleet;

/// The control traffic that a daemon may send, in bytes per second.
const CONTROL_BYTES_PER_S: usize = 18_000;

/// While nothing changes, membership may take [`CONTROL_BYTES_PER_S`] divided by this number.
const STEADY_DIVISOR: usize = 3;

/// The multiple of [`CONTROL_BYTES_PER_S`] that a daemon may send while a herd restarts.
const HERD_MULTIPLE: usize = 2;

/// The requests for state that a daemon may receive in a second while a herd restarts.
const REQUESTS_PER_S: usize = 40;

/// The protocol periods within which views agree after a herd has restarted.
const PERIODS_TO_AGREE: u32 = 120;

/// The traffic and the store operations of a fleet during a measurement.
struct Usage {
    /// The most bytes that one node sent.
    bytes_max: usize,
    bytes_total: usize,
    messages_total: usize,
    /// The reads of seed rows from the store.
    read_count: usize,
    /// The most requests for state that one node received.
    requests_max: usize,
    seconds: usize,
    write_count: usize,
}

/// Runs a fleet with `run` and returns the traffic and the store operations meanwhile.
fn measure(fleet: &mut Fleet, run: impl FnOnce(&mut Fleet)) -> Usage {
    for node in &mut fleet.nodes {
        node.sent_bytes = 0;
        node.sent_message_count = 0;
    }
    fleet.state_request_counts.clear();
    let started = fleet.now;
    let (read_count, write_count) = (fleet.store_read_count, fleet.store_write_count);
    run(fleet);
    let bytes = fleet.nodes.iter().map(|node| node.sent_bytes);
    let messages = fleet.nodes.iter().map(|node| node.sent_message_count);
    let seconds = (fleet.now - started).as_secs().max(1);
    Usage {
        bytes_max: bytes.clone().max().unwrap_or_default(),
        bytes_total: bytes.sum(),
        messages_total: messages.sum(),
        read_count: fleet.store_read_count - read_count,
        requests_max: fleet
            .state_request_counts
            .values()
            .copied()
            .max()
            .unwrap_or_default(),
        seconds: usize::try_from(seconds).unwrap(),
        write_count: fleet.store_write_count - write_count,
    }
}

fn run_until_agreed(fleet: &mut Fleet) {
    let agreed = fleet.periods_until(PERIODS_TO_AGREE, Fleet::agrees);
    assert!(agreed.is_some(), "{}", fleet.describe());
}

/// Asserts that neither a daemon's traffic nor the store's operations exceeded their limits.
fn assert_no_storm(usage: &Usage, herd_size: usize) {
    assert!(usage.bytes_max / usage.seconds <= HERD_MULTIPLE * CONTROL_BYTES_PER_S);
    assert!(usage.requests_max / usage.seconds <= REQUESTS_PER_S);
    assert!(
        usage.read_count <= 8 * herd_size,
        "{} reads",
        usage.read_count
    );
    assert!(
        usage.write_count <= herd_size,
        "{} writes",
        usage.write_count
    );
}

/// Restarts a herd at once, and asserts that the views agree in time and that no limit is exceeded.
fn restart_without_storm(fleet: &mut Fleet, herd: &[usize]) {
    let usage = measure(fleet, |fleet| {
        for index in herd {
            fleet.start_node(*index);
        }
        run_until_agreed(fleet);
    });
    assert_no_storm(&usage, herd.len());
}

/// Crashes all nodes of one availability zone and returns their indexes.
fn kill_zone(fleet: &mut Fleet) -> Vec<usize> {
    let zone_count = fleet.zone_count;
    let herd: Vec<usize> = (0..fleet.nodes.len()).step_by(zone_count).collect();
    for index in &herd {
        fleet.crash(*index);
    }
    herd
}

#[test]
fn steady_cost_of_a_member_does_not_grow_with_the_fleet() {
    for size in [12, 25, 50, 100] {
        let mut fleet = Fleet::converged(size, 3, 1);
        fleet.checks_order = false;
        fleet.run(Duration::from_secs(30));
        let usage = measure(&mut fleet, |fleet| fleet.run(Duration::from_secs(30)));
        let member_seconds = size * usage.seconds;
        let messages = usage.messages_total / member_seconds;
        // Members also receive what others send.
        let bytes = 2 * usage.bytes_total / member_seconds;
        assert!(messages <= 4, "{messages} datagrams a second at {size}");
        assert!(
            bytes <= CONTROL_BYTES_PER_S / STEADY_DIVISOR,
            "{bytes} at {size}"
        );
    }
}

#[test]
fn a_zone_crashes_and_restarts_at_once() {
    let mut fleet = Fleet::converged(60, 3, 2);
    fleet.checks_order = false;
    let herd = kill_zone(&mut fleet);
    run_until_agreed(&mut fleet);
    restart_without_storm(&mut fleet, &herd);
}

#[test]
fn a_zone_restarts_while_the_store_is_down() {
    let mut fleet = Fleet::converged(60, 3, 3);
    fleet.checks_order = false;
    fleet.store_up = false;
    let herd = kill_zone(&mut fleet);
    run_until_agreed(&mut fleet);
    restart_without_storm(&mut fleet, &herd);
}

#[test]
fn all_restart_together_with_the_store_slow() {
    let mut fleet = Fleet::converged(60, 3, 4);
    fleet.checks_order = false;
    fleet.store_delay = Duration::from_secs(3);
    for index in 0..60 {
        fleet.crash(index);
    }
    let usage = measure(&mut fleet, |fleet| {
        for index in 0..60 {
            fleet.start_node(index);
        }
        run_until_agreed(fleet);
    });
    assert_no_storm(&usage, 60);
}

#[test]
fn regions_that_reconnect_after_an_hour_mark_nobody_dead() {
    let mut fleet = Fleet::converged(30, 3, 5);
    fleet.checks_order = false;
    for index in 0..30 {
        fleet.sides[index] = index % 2;
    }
    fleet.run(Duration::from_hours(1));
    let deaths = |fleet: &Fleet| -> u64 {
        let counters = (0..30).map(|index| fleet.core(index).counters());
        counters.map(|counters| counters.deaths_found).sum()
    };
    let before = deaths(&fleet);
    fleet.sides.fill(0);
    let usage = measure(&mut fleet, run_until_agreed);
    assert_no_storm(&usage, 30);
    assert_eq!(deaths(&fleet), before);
}

#[test]
fn regions_that_reconnect_while_deaths_are_still_gossiped_mark_nobody_dead() {
    for seed in 0..6 {
        let mut fleet = Fleet::converged(30, 3, seed);
        fleet.checks_order = false;
        for index in 0..30 {
            fleet.sides[index] = index % 2;
        }
        let is_partitioned =
            |fleet: &Fleet| (0..30).all(|index| fleet.core(index).living_count() == 15);
        assert!(
            fleet
                .periods_until(PERIODS_TO_AGREE, is_partitioned)
                .is_some()
        );
        fleet.sides.fill(0);
        let marked_dead = |fleet: &Fleet| {
            let viewers = (0..30).flat_map(|viewer| (0..30).map(move |subject| (viewer, subject)));
            let same_side = viewers.filter(|(viewer, subject)| viewer % 2 == subject % 2);
            let dead = Some(medlarspool_membership::MemberState::Dead);
            same_side
                .filter(|(viewer, subject)| fleet.state(*viewer, *subject) == dead)
                .count()
        };
        for _ in 0..600 {
            fleet.run(Duration::from_millis(100));
            assert_eq!(marked_dead(&fleet), 0, "seed {seed}");
        }
        assert!(fleet.agrees(), "{}", fleet.describe());
    }
}

#[test]
fn a_planned_stop_of_a_third_reaches_all_within_three_seconds() {
    let mut fleet = Fleet::converged(60, 3, 6);
    fleet.checks_order = false;
    fleet.lost_percent = 10;
    for index in (0..60).step_by(3) {
        fleet.event(index, MembershipEvent::Leave);
    }
    fleet.run(Duration::from_secs(3));
    for viewer in 0..60 {
        for subject in (0..60).step_by(3) {
            let state = fleet.state(viewer, subject).unwrap();
            assert_eq!(state, medlarspool_membership::MemberState::Leaving);
        }
    }
}
