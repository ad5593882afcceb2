//! Compares the choice of targets and the queue of the gate with a round-robin baseline under several loads.

mod load;

use std::time::Duration;

use load::{Outcome, Policy, RequestKind, Scenario, capacity, map_read, simulate};
use rstest::rstest;

const SLOTS: u32 = 6;
const SKEWED_SLOWDOWNS: [f64; 6] = [0.6, 0.6, 1.0, 1.0, 1.6, 1.6];

fn scenario(utilisation: f64, slowdowns: &[f64]) -> Scenario {
    let requests_per_s = utilisation * capacity(SLOTS, slowdowns, Duration::from_millis(60));
    Scenario {
        burst: None,
        entry_count: 16,
        kinds: vec![map_read(requests_per_s)],
        duration: Duration::from_secs(20),
        limited_targets: None,
        lost_targets: None,
        return_count: 0,
        run_time_deviation: 0.3,
        slots: SLOTS,
        slowdowns: slowdowns.to_vec(),
    }
}

fn compare(scenario: &Scenario, seed: u64) -> (Outcome, Outcome) {
    let product = simulate(scenario, Policy::Product, seed)[0];
    let baseline = simulate(scenario, Policy::RoundRobin, seed)[0];
    assert_eq!(product.sent_count, baseline.sent_count);
    (product, baseline)
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn skewed_slowdowns(#[case] seed: u64) {
    let (product, baseline) = compare(&scenario(0.8, &SKEWED_SLOWDOWNS), seed);
    assert!(product.share_served() > 0.99, "{product:?}");
    assert!(
        product.share_in_time() > baseline.share_in_time(),
        "{product:?} {baseline:?}"
    );
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn burst_beyond_capacity(#[case] seed: u64) {
    let burst = Some((Duration::from_secs(5), Duration::from_secs(15), 2.0));
    let scenario = Scenario {
        burst,
        ..scenario(0.7, &[1.0; 6])
    };
    let (product, baseline) = compare(&scenario, seed);
    assert!(
        product.share_in_time() > 1.5 * baseline.share_in_time(),
        "{product:?} {baseline:?}"
    );
    assert!(
        product.share_served() > 0.95 * baseline.share_served(),
        "{product:?} {baseline:?}"
    );
}

/// Slightly more is asked for than can be served, by runs of very different length: whoever waits up to the target
/// latency is late most of the time, and no more are served for it.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn lasting_overload_is_answered_in_time(#[case] seed: u64) {
    let scenario = Scenario {
        run_time_deviation: 0.9,
        ..scenario(1.1, &SKEWED_SLOWDOWNS)
    };
    let product = simulate(&scenario, Policy::Product, seed)[0];
    let baseline = simulate(&scenario, Policy::LongWaits, seed)[0];
    assert!(
        product.share_in_time() > 1.1 * baseline.share_in_time(),
        "{product:?} {baseline:?}"
    );
    assert!(
        product.share_served() > 0.98 * baseline.share_served(),
        "{product:?} {baseline:?}"
    );
}

/// A quarter more is asked for than can be served, for long, and refused clients return: every queue is as long as it may
/// be, so whoever waits until a run of mean length would just be in time is late about half of the time, or refused so
/// late that the next attempt is. Shorter queues keep the slots as busy.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn queues_at_their_longest_leave_time_for_longer_runs(#[case] seed: u64) {
    let scenario = Scenario {
        return_count: 2,
        run_time_deviation: 0.9,
        ..scenario(1.25, &[1.0; 6])
    };
    let product = simulate(&scenario, Policy::Product, seed)[0];
    let baseline = simulate(&scenario, Policy::WaitsForMeanRun, seed)[0];
    assert!(
        product.share_in_time() > baseline.share_in_time(),
        "{product:?} {baseline:?}"
    );
    assert!(
        product.share_served() > 0.98 * baseline.share_served(),
        "{product:?} {baseline:?}"
    );
}

#[rstest]
#[case(1)]
#[case(2)]
fn overload_is_refused_at_once(#[case] seed: u64) {
    let product = simulate(&scenario(1.6, &[1.0; 6]), Policy::Product, seed)[0];
    assert!(product.refused_count > 0);
    let kind = map_read(1.0);
    assert!(
        product.longest_refused_wait <= kind.target_latency,
        "{product:?}"
    );
}

#[rstest]
#[case(1)]
#[case(2)]
fn zone_lost_under_burst(#[case] seed: u64) {
    let scenario = Scenario {
        burst: Some((Duration::from_secs(6), Duration::from_secs(12), 1.5)),
        lost_targets: Some((Duration::from_secs(6), 2)),
        ..scenario(0.5, &[1.0; 6])
    };
    let (product, baseline) = compare(&scenario, seed);
    assert!(
        product.share_served() > baseline.share_served(),
        "{product:?} {baseline:?}"
    );
    assert!(
        product.share_in_time() > baseline.share_in_time(),
        "{product:?} {baseline:?}"
    );
}

#[rstest]
#[case(1)]
#[case(2)]
fn calls_of_running_requests_go_first(#[case] seed: u64) {
    let mut scenario = scenario(0.7, &[1.0; 6]);
    let parent_requests_per_s = scenario.kinds[0].requests_per_s;
    scenario.kinds[0].rank = 1;
    scenario.kinds.push(RequestKind {
        account: None,
        deadline: Duration::from_millis(200),
        is_call: true,
        requests_per_s: parent_requests_per_s,
        rank: 1,
        target_latency: Duration::from_millis(60),
        base_run_time: Duration::from_millis(15),
    });
    scenario.burst = Some((Duration::from_secs(5), Duration::from_secs(10), 1.3));
    let product = simulate(&scenario, Policy::Product, seed);
    let baseline = simulate(&scenario, Policy::RoundRobin, seed);
    assert!(product[1].share_served() > 0.97, "{product:?}");
    assert!(
        product[1].share_served() > baseline[1].share_served(),
        "{product:?} {baseline:?}"
    );
}

/// A fast target is known and idle when a slower one joins: the new one still gets requests, one at a time.
#[test]
fn a_joining_target_gets_requests_beside_a_faster_one() {
    assert!(load::joining_target_is_chosen(Duration::from_secs(7)));
}

/// Targets that were there when this daemon started don't count as newly joined, so that a restarted daemon
/// doesn't send trial requests to all of them.
#[test]
fn a_target_present_at_startup_does_not_count_as_joining() {
    assert!(!load::joining_target_is_chosen(Duration::from_secs(1)));
}

/// A third of the targets takes a third of what it could; the others have room for the rest.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn limited_targets_beside_ones_with_room(#[case] seed: u64) {
    let all = scenario(0.6, &[1.0; 6]);
    let limit = capacity(SLOTS, &[1.0], Duration::from_millis(60)) / 3.0;
    let limited = Scenario {
        limited_targets: Some((2, limit)),
        ..all
    };
    let product = simulate(&limited, Policy::Product, seed)[0];
    assert!(product.share_served() > 0.99, "{product:?}");
}

/// More is asked for than the limits and the other targets allow: nearly all that they allow is used, and the rest is
/// refused early.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn limited_targets_in_a_lasting_overload(#[case] seed: u64) {
    const LIMITED_COUNT: usize = 3;
    let all = scenario(0.9, &[1.0; 6]);
    let per_target = capacity(SLOTS, &[1.0], Duration::from_millis(60));
    let limit = per_target / 3.0;
    let limited = Scenario {
        limited_targets: Some((LIMITED_COUNT, limit)),
        ..all
    };
    let allowed = 3.0 * per_target + 3.0 * limit;
    let product = simulate(&limited, Policy::Product, seed)[0];
    let served = product.share_served() * f64::from(product.sent_count) / 20.0;
    assert!(
        served > 0.9 * allowed,
        "{served} of {allowed} a second, {product:?}"
    );
    assert!(
        product.longest_refused_wait < Duration::from_millis(200),
        "{product:?}"
    );
}
