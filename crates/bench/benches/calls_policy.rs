//! The policies of a call under load and faults, compared with their baselines, in counts of a
//! discrete-event simulation. See `docs/design/calls.md`.

use std::{process::ExitCode, time::Duration};

use medlarspool_bench::{
    CallsChain, CallsDeployment, CallsFault, CallsModel, CallsPolicies, CallsReport, CallsScenario,
    RetryMode,
};
use medlarspool_calls::CallSettings;

const TRAFFIC_DURATION: Duration = Duration::from_secs(12);
const SEEDS: std::ops::Range<u64> = 1..5;
const LOADS_PERCENT: [u32; 5] = [50, 80, 100, 150, 300];
const FAULT_LOADS_PERCENT: [u32; 2] = [50, 80];
const FAULTS: [CallsFault; 7] = [
    CallsFault::ColdStartAll,
    CallsFault::ColdStartOne,
    CallsFault::Dead,
    CallsFault::Misreporting,
    CallsFault::Slow,
    CallsFault::Unreachable,
    CallsFault::ZoneDown,
];
const POLICIES: [CallsPolicies; 8] = [
    CallsPolicies::BASELINE,
    CallsPolicies::RANDOM_CHOICE,
    CallsPolicies::FIFO_QUEUE,
    CallsPolicies::NO_EJECTION,
    CallsPolicies::NO_SLOW_START,
    CallsPolicies::NO_ZONES,
    CallsPolicies::UNBOUNDED_RETRY,
    CallsPolicies::CHOSEN,
];
/// The policies for the large deployment, whose simulation takes longest.
const LARGE_DEPLOYMENT_POLICIES: [CallsPolicies; 3] = [
    CallsPolicies::BASELINE,
    CallsPolicies::RANDOM_CHOICE,
    CallsPolicies::CHOSEN,
];
const CHAIN_DEPTH: usize = 8;
const ROOT_CALL_COUNT: u32 = 20_000;

/// The maximum ratio of calls with retries to calls without them, at any service of a chain of 8.
const MAX_AMPLIFICATION: f64 = 1.1;
/// The least share of the capacity that must be answered at 300% load, in percent.
const MIN_ANSWERED_PERCENT: f64 = 95.0;

fn main() -> ExitCode {
    let mut missed_bounds: Vec<String> = Vec::new();
    measure_all(&CallsDeployment::trust(), &POLICIES, &mut missed_bounds);
    measure_all(&CallsDeployment::atlas(), &POLICIES, &mut missed_bounds);
    measure_all(
        &CallsDeployment::large(),
        &LARGE_DEPLOYMENT_POLICIES,
        &mut missed_bounds,
    );
    measure_amplification(&mut missed_bounds);
    if missed_bounds.is_empty() {
        println!("bound: held");
        return ExitCode::SUCCESS;
    }
    println!("bound: missed {}", missed_bounds.join(" "));
    ExitCode::FAILURE
}

fn measure_all(
    deployment: &CallsDeployment,
    policies: &[CallsPolicies],
    missed_bounds: &mut Vec<String>,
) {
    for load in LOADS_PERCENT {
        measure(deployment, policies, CallsFault::None, load, missed_bounds);
    }
    measure(deployment, policies, CallsFault::Flood, 300, missed_bounds);
    for fault in FAULTS {
        for load in FAULT_LOADS_PERCENT {
            measure(deployment, policies, fault, load, missed_bounds);
        }
    }
}

/// Runs a scenario under each policy, prints the counts of all seeds together, and checks the bounds of the
/// policies that the daemon uses.
fn measure(
    deployment: &CallsDeployment,
    policies: &[CallsPolicies],
    fault: CallsFault,
    load_percent: u32,
    missed_bounds: &mut Vec<String>,
) {
    for &policies in policies {
        let mut report = CallsReport::default();
        for seed in SEEDS {
            report.add(&CallsModel::run(CallsScenario {
                deployment: deployment.clone(),
                fault,
                load_percent,
                policies,
                seed,
                settings: CallSettings::default(),
                traffic_duration: TRAFFIC_DURATION,
            }));
        }
        let label = format!("{}.{fault}.{load_percent}", deployment.name);
        print(&format!("{label}.{}", policies.name), &report);
        if policies == CallsPolicies::CHOSEN {
            check(&label, fault, load_percent, &report, missed_bounds);
        }
    }
}

fn print(name: &str, report: &CallsReport) {
    println!("{name}.answered {:.2} %", report.answered_percent());
    println!("{name}.of_capacity {:.2} %", report.completed_percent());
    println!("{name}.quiet_answered {:.2} %", report.quiet_percent());
    println!("{name}.far {:.1} %", report.far_percent());
    println!("{name}.wait_mean {:.1} ms", report.latency_mean_ms());
    println!("{name}.wait_p50 {:.1} ms", report.latency_ms(0.5));
    println!("{name}.wait_p99 {:.1} ms", report.latency_ms(0.99));
    println!(
        "{name}.tries {:.3} a_request",
        report.attempts_per_request()
    );
    println!("{name}.may_have_run {} requests", report.may_have_run);
    println!("{name}.double_runs {} requests", report.double_runs);
    println!("{name}.false_not_run {} requests", report.false_not_run);
}

/// Adds the bounds that a report of the daemon's policies misses: no request runs twice if it must not, none is
/// falsely reported as not run, and under overload enough of the capacity is used.
fn check(
    label: &str,
    fault: CallsFault,
    load_percent: u32,
    report: &CallsReport,
    missed_bounds: &mut Vec<String>,
) {
    if report.double_runs > 0 {
        missed_bounds.push(format!("{label}.double_runs"));
    }
    if report.false_not_run > 0 {
        missed_bounds.push(format!("{label}.false_not_run"));
    }
    let overloaded = fault == CallsFault::None && load_percent == 300;
    if overloaded && report.completed_percent() < MIN_ANSWERED_PERCENT {
        missed_bounds.push(format!("{label}.of_capacity"));
    }
}

/// Counts the calls in a chain of 8 services of which the last fails half of its calls, and in one in which
/// each service fails a tenth.
fn measure_amplification(missed_bounds: &mut Vec<String>) {
    let mut last = [0; CHAIN_DEPTH];
    last[CHAIN_DEPTH - 1] = 50;
    for (name, failure_percents) in [
        ("last_fails_half", last),
        ("all_fail_a_tenth", [10; CHAIN_DEPTH]),
    ] {
        let without_retries = run_chain(&failure_percents, RetryMode::Budget, 0);
        for (mode, policy) in [
            (RetryMode::Unbounded, "baseline"),
            (RetryMode::Budget, "chosen"),
        ] {
            let max_attempts = CallSettings::default().max_attempts;
            let chain = run_chain(&failure_percents, mode, max_attempts);
            let amplification = amplification(&chain, &without_retries);
            println!("chain.{name}.{policy}.answered {} roots", chain.answered);
            println!("chain.{name}.{policy}.amplification {amplification:.3} times");
            if mode == RetryMode::Budget && amplification > MAX_AMPLIFICATION {
                missed_bounds.push(format!("chain.{name}.amplification"));
            }
        }
    }
}

struct ChainRun {
    answered: u32,
    call_counts: Vec<u64>,
}

fn run_chain(failure_percents: &[u32], mode: RetryMode, max_attempts: u32) -> ChainRun {
    let settings = CallSettings {
        max_attempts,
        ..CallSettings::default()
    };
    let mut chain = CallsChain::new(&settings, failure_percents, mode);
    let answered = chain.run(ROOT_CALL_COUNT);
    ChainRun {
        answered,
        call_counts: chain.call_counts().to_vec(),
    }
}

/// Returns the largest ratio, over all services, of the calls with retries to those without.
fn amplification(chain: &ChainRun, without_retries: &ChainRun) -> f64 {
    let ratios = chain
        .call_counts
        .iter()
        .zip(&without_retries.call_counts)
        .map(|(calls, without_retries)| {
            let count = |calls: &u64| u32::try_from(*calls).map_or(f64::MAX, f64::from);
            count(calls) / count(without_retries)
        });
    ratios.fold(0.0, f64::max)
}
