//! The retry budget for a failing service, including retries that are caused by retries of its callers.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use medlarspool_mesh::RetryBudget;
use rstest::rstest;

const RATIO: f64 = 0.2;
const SLACK: f64 = 64.0;
const WINDOW: Duration = Duration::from_secs(10);

/// Simulates one window in which every request of `daemons` daemons fails and needs a retry, and each request
/// is charged with `charge_per_request` retries of the caller; returns the numbers of requests and of retries.
fn simulate_failing_service(daemons: u32, per_daemon: u32, charge_per_request: f64) -> (u32, f64) {
    let start = Instant::now();
    let service: Rc<str> = "sightings".into();
    let mut retries = 0.0;
    for _ in 0..daemons {
        let mut budget = RetryBudget::new(RATIO, SLACK, WINDOW);
        for request in 0..per_daemon {
            let now = start + WINDOW * request / per_daemon;
            budget.record_request(now, &service);
            budget.charge(now, &service, charge_per_request);
            retries += charge_per_request;
            if budget.try_spend(now, &service, daemons as usize) {
                retries += 1.0;
            }
        }
    }
    (daemons * per_daemon, retries)
}

#[rstest]
#[case::all_fail(16, 450, 0.0)]
#[case::few_requests(16, 3, 0.0)]
#[case::with_charged_retries(16, 450, 0.1)]
#[case::large_fleet(80, 100, 0.05)]
fn a_failing_service_stays_within_the_shared_budget(
    #[case] daemons: u32,
    #[case] per_daemon: u32,
    #[case] charge_per_request: f64,
) {
    let (requests, retries) = simulate_failing_service(daemons, per_daemon, charge_per_request);
    let allowed = RATIO * f64::from(requests) + SLACK;
    assert!(retries <= allowed, "{retries} retries, allowed {allowed}");
}

#[test]
fn retries_of_callers_exceed_the_budget_without_the_charge() {
    let (requests, direct) = simulate_failing_service(16, 450, 0.0);
    let from_callers = 0.1 * f64::from(requests);
    assert!(direct + from_callers > RATIO * f64::from(requests) + SLACK);
}

#[test]
fn the_budget_recovers_after_its_window() {
    let start = Instant::now();
    let service: Rc<str> = "sightings".into();
    let mut budget = RetryBudget::new(RATIO, SLACK, WINDOW);
    while budget.try_spend(start, &service, 16) {}
    assert!(!budget.try_spend(start + WINDOW / 2, &service, 16));
    assert!(budget.try_spend(start + WINDOW * 2, &service, 16));
}

#[test]
fn new_bounds_apply_at_once_and_keep_the_spent_retries() {
    let (now, service): (Instant, Rc<str>) = (Instant::now(), "sightings".into());
    let mut budget = RetryBudget::new(RATIO, SLACK, WINDOW);
    assert!((0..10).all(|_| budget.try_spend(now, &service, 1)));
    budget.set_bounds(RATIO, 10.0, WINDOW);
    assert!(!budget.try_spend(now, &service, 1));
    budget.set_bounds(RATIO, SLACK, WINDOW);
    assert!(budget.try_spend(now, &service, 1));
}
