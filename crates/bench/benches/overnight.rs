//! One overnight run of each deployment: real processes, steady load, all faults in seeded order, some
//! in pairs.
//!
//! `cargo bench -p medlarspool-bench --bench overnight [-- SEED]`. See docs/OPERATIONS.md for the faults.

use std::process::ExitCode;

use medlarspool_bench::{OvernightPlan, OvernightReport, OvernightRun, program_paths};

const DEFAULT_SEED: u64 = 1;

fn main() -> ExitCode {
    let seed = std::env::args()
        .find_map(|argument| argument.parse().ok())
        .unwrap_or(DEFAULT_SEED);
    let runs = [
        ("trust", OvernightPlan::trust(seed)),
        ("atlas", OvernightPlan::atlas(seed)),
    ];
    let mut missed_bounds = Vec::new();
    for (name, plan) in runs {
        match OvernightRun::start(plan, program_paths!()).and_then(OvernightRun::run) {
            Err(error) => {
                eprintln!("overnight: {name}: {error}");
                missed_bounds.push(format!("{name}_not_run_to_its_end"));
            }
            Ok(report) => {
                if print_report(name, &report) > 0 {
                    missed_bounds.push(name.to_owned());
                }
            }
        }
    }
    if missed_bounds.is_empty() {
        println!("bound: held");
        return ExitCode::SUCCESS;
    }
    println!("bound: missed {}", missed_bounds.join(" "));
    ExitCode::FAILURE
}

/// Prints one run's table and returns how often promises were broken.
fn print_report(name: &str, report: &OvernightReport) -> u64 {
    let mut broken = 0;
    for promise in report.promises().into_iter().chain([report.convergence()]) {
        println!("# {name}: {promise}");
        broken += promise.broken;
    }
    for (fault, count) in &report.fault_counts {
        println!("{name}_{fault:?} {count} faults");
    }
    println!("{name}_requests {} requests", report.requests.len());
    println!("{name}_answered {:.2} percent", report.answered_percent());
    println!("{name}_changes {} versions", report.change_count);
    let slowest = report.convergence_times.iter().max();
    println!(
        "{name}_slowest_convergence {} ms",
        slowest.map_or(0, std::time::Duration::as_millis)
    );
    println!("{name}_broken {broken} promises");
    broken
}
