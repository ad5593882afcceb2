use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    Figures, ProcessFleet, ProgramPaths, SampleLists, add_daemons_without_upstream,
    wait_for_version,
};

/// The changes that are timed.
const CHANGES: usize = 5;
/// The customers in the lists.
const CUSTOMERS: usize = 1_000;
/// The longest time within which a change must be in force everywhere, in milliseconds.
const CONVERGENCE_BOUND_MS: f64 = 5_000.0;
/// The time for daemons to get to know each other.
const SETTLE: Duration = Duration::from_secs(5);
const SEED: u64 = 7;

/// Times changes in a fleet of real daemon processes, until the last daemon's metrics show them.
///
/// The daemons are looked at in turn, so the times are upper bounds with 100 ms between looks.
///
/// # Errors
///
/// Returns which daemon can't be started or doesn't get there.
pub fn measure_process_convergence(
    programs: ProgramPaths,
    daemons: usize,
) -> Result<Figures, String> {
    let mut fleet = ProcessFleet::start(programs)?;
    let mut lists = SampleLists::new(CUSTOMERS, SEED);
    fleet.commit(lists.lists())?;
    add_daemons_without_upstream(&mut fleet, daemons)?;
    thread::sleep(SETTLE);
    let mut waits = Vec::new();
    for _ in 0..CHANGES {
        lists.change_customers(1);
        let head = fleet.commit(lists.lists())?;
        let since = Instant::now();
        wait_for_version(&fleet, head.version.0)?;
        waits.push(since.elapsed());
        thread::sleep(Duration::from_millis(fastrand::u64(100..700)));
    }
    waits.sort();
    let mut figures = Figures::default();
    let name = format!("processes_{daemons}_one_change");
    let ms = |wait: Duration| wait.as_secs_f64() * 1_000.0;
    figures.add(
        format!("{name}_everywhere_median"),
        ms(waits[CHANGES / 2]),
        "ms",
    );
    let last = ms(waits[CHANGES - 1]);
    figures.add_bounded(format!("{name}_last"), last, "ms", CONVERGENCE_BOUND_MS);
    Ok(figures)
}
