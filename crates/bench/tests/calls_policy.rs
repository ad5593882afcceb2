//! A short form of the bench `calls_policy` for CI, with the same model, counts and bounds.

use std::time::Duration;

use medlarspool_bench::{
    CallsChain, CallsDeployment, CallsFault, CallsModel, CallsPolicies, CallsReport, CallsScenario,
    RetryMode,
};
use medlarspool_calls::CallSettings;
use rstest::rstest;

fn run(policies: CallsPolicies, fault: CallsFault, load_percent: u32) -> CallsReport {
    CallsModel::run(CallsScenario {
        deployment: CallsDeployment::trust(),
        fault,
        load_percent,
        policies,
        seed: 1,
        settings: CallSettings::default(),
        traffic_duration: Duration::from_secs(6),
    })
}

#[rstest]
#[case::none(CallsFault::None, 100)]
#[case::overload(CallsFault::None, 300)]
#[case::cold_start_all(CallsFault::ColdStartAll, 80)]
#[case::dead(CallsFault::Dead, 80)]
#[case::misreporting(CallsFault::Misreporting, 80)]
#[case::slow(CallsFault::Slow, 80)]
#[case::unreachable(CallsFault::Unreachable, 80)]
#[case::zone_down(CallsFault::ZoneDown, 80)]
fn no_double_run_no_false_not_run_and_more_answers_than_the_baseline(
    #[case] fault: CallsFault,
    #[case] load_percent: u32,
) {
    let chosen = run(CallsPolicies::CHOSEN, fault, load_percent);
    let baseline = run(CallsPolicies::BASELINE, fault, load_percent);
    assert_eq!((chosen.double_runs, chosen.false_not_run), (0, 0));
    assert!(chosen.answered > baseline.answered);
}

#[test]
fn overload_is_answered_at_95_percent_of_capacity() {
    let report = run(CallsPolicies::CHOSEN, CallsFault::None, 300);
    let percent = report.completed_percent();
    assert!(percent >= 95.0, "{percent}");
}

#[test]
fn a_flood_does_not_affect_the_other_customers() {
    let report = run(CallsPolicies::CHOSEN, CallsFault::Flood, 300);
    let percent = report.quiet_percent();
    assert!(percent >= 99.0, "{percent}");
}

#[test]
fn the_same_seed_gives_the_same_counts() {
    let first = run(CallsPolicies::CHOSEN, CallsFault::Dead, 80);
    let second = run(CallsPolicies::CHOSEN, CallsFault::Dead, 80);
    assert_eq!(first.latency_us, second.latency_us);
    assert_eq!(first.attempts, second.attempts);
}

#[rstest]
#[case::last_fails_half([0, 0, 0, 0, 0, 0, 0, 50])]
#[case::all_fail_a_tenth([10; 8])]
#[case::all_fail_half([50; 8])]
fn retries_add_at_most_a_tenth_of_calls_in_a_chain_of_eight_services(
    #[case] failure_percents: [u32; 8],
) {
    const ROOT_CALL_COUNT: u32 = 20_000;
    let settings = CallSettings::default();
    let mut chain = CallsChain::new(&settings, &failure_percents, RetryMode::Budget);
    chain.run(ROOT_CALL_COUNT);
    let max_calls = chain.call_counts().iter().max().copied().unwrap();
    assert!(
        max_calls * 10 <= u64::from(ROOT_CALL_COUNT) * 11,
        "{max_calls}"
    );
}
