//! A short overnight run with all faults. Only counts decide, so that a slow machine does not fail it.

use medlarspool_bench::{OvernightPlan, OvernightRun, program_paths};

const SEED: u64 = 3;

#[test]
fn no_promise_is_broken_in_a_short_night() {
    let run = OvernightRun::start(OvernightPlan::short(SEED), program_paths!());
    let report = run.and_then(OvernightRun::run).expect("the run completes");
    for promise in report.promises() {
        println!("{promise}");
        assert_eq!(promise.broken, 0, "{promise}");
    }
    assert!(report.versions.checks > 0);
    assert!(report.requests.iter().any(|request| request.ran));
}
