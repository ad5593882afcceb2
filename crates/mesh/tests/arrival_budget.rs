//! The retry budget under a failing service, with repeats that cause repeats further down.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use medlarspool_mesh::RetryBudget;
use rstest::rstest;

const RATIO: f64 = 0.2;
const SLACK: f64 = 64.0;
const WINDOW: Duration = Duration::from_secs(10);

/// Plays ten seconds in which every request of `daemons` daemons fails and asks for a repeat, and each
/// repeat makes `calls` calls of its own; returns requests and the arrivals beyond the first.
fn failing_service(daemons: u32, per_daemon: u32, calls: f64) -> (u32, f64) {
    let start = Instant::now();
    let service: Rc<str> = "sightings".into();
    let mut beyond = 0.0;
    for _ in 0..daemons {
        let mut budget = RetryBudget::new(RATIO, SLACK, WINDOW);
        for request in 0..per_daemon {
            let now = start + WINDOW * request / per_daemon;
            budget.record_request(now, &service);
            budget.charge(now, &service, calls);
            beyond += calls;
            if budget.try_spend(now, &service, daemons as usize) {
                beyond += 1.0;
            }
        }
    }
    (daemons * per_daemon, beyond)
}

#[rstest]
#[case::all_fail(16, 450, 0.0)]
#[case::few_requests(16, 3, 0.0)]
#[case::with_repeats_from_above(16, 450, 0.1)]
#[case::large_fleet(80, 100, 0.05)]
fn a_failing_service_keeps_the_shared_budget(
    #[case] daemons: u32,
    #[case] per_daemon: u32,
    #[case] calls: f64,
) {
    let (requests, beyond) = failing_service(daemons, per_daemon, calls);
    let allowed = RATIO * f64::from(requests) + SLACK;
    assert!(
        beyond <= allowed,
        "{beyond} beyond the first, allowed {allowed}"
    );
}

#[test]
fn without_the_charge_repeats_from_above_overdraw_the_budget() {
    let (requests, direct) = failing_service(16, 450, 0.0);
    let from_above = 0.1 * f64::from(requests);
    assert!(direct + from_above > RATIO * f64::from(requests) + SLACK);
}

#[test]
fn the_budget_is_there_again_after_its_window() {
    let start = Instant::now();
    let service: Rc<str> = "sightings".into();
    let mut budget = RetryBudget::new(RATIO, SLACK, WINDOW);
    while budget.try_spend(start, &service, 16) {}
    assert!(!budget.try_spend(start + WINDOW / 2, &service, 16));
    assert!(budget.try_spend(start + WINDOW * 2, &service, 16));
}

#[test]
fn other_bounds_hold_at_once_and_what_was_spent_stays_spent() {
    let (now, service): (Instant, Rc<str>) = (Instant::now(), "sightings".into());
    let mut budget = RetryBudget::new(RATIO, SLACK, WINDOW);
    assert!((0..10).all(|_| budget.try_spend(now, &service, 1)));
    budget.set_bounds(RATIO, 10.0, WINDOW);
    assert!(!budget.try_spend(now, &service, 1));
    budget.set_bounds(RATIO, SLACK, WINDOW);
    assert!(budget.try_spend(now, &service, 1));
}
