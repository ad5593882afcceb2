use std::{
    thread,
    time::{Duration, Instant},
};

use crate::{
    Figures, ProcessFleet, ProgramPaths, SampleLists, add_daemons_without_upstream,
    wait_for_version,
};

/// The number of timed changes.
const CHANGE_COUNT: usize = 5;
/// The number of customers in the lists.
const CUSTOMER_COUNT: usize = 1_000;
/// The time within which every daemon must hold a change, in milliseconds.
const CONVERGENCE_BOUND_MS: f64 = 5_000.0;
/// The wait for the daemons' memberships to agree.
const SETTLE: Duration = Duration::from_secs(5);
const SEED: u64 = 7;

/// Measures how long a change takes in a fleet of real daemon processes until every daemon's metrics show it.
///
/// The daemons are polled one after the other every 100 ms, so the times are upper bounds.
///
/// # Errors
///
/// Returns which daemon can't be started or doesn't hold a change in time.
pub fn measure_process_convergence(
    programs: ProgramPaths,
    daemon_count: usize,
) -> Result<Figures, String> {
    let mut fleet = ProcessFleet::start(programs)?;
    let mut lists = SampleLists::new(CUSTOMER_COUNT, SEED);
    fleet.commit(lists.lists())?;
    add_daemons_without_upstream(&mut fleet, daemon_count)?;
    thread::sleep(SETTLE);
    let mut waits = Vec::new();
    for _ in 0..CHANGE_COUNT {
        lists.change_customers(1);
        let head = fleet.commit(lists.lists())?;
        let since = Instant::now();
        wait_for_version(&fleet, head.version.0)?;
        waits.push(since.elapsed());
        thread::sleep(Duration::from_millis(fastrand::u64(100..700)));
    }
    waits.sort();
    let mut figures = Figures::default();
    let name = format!("processes_{daemon_count}_one_change");
    let ms = |wait: Duration| wait.as_secs_f64() * 1_000.0;
    figures.add(
        format!("{name}_everywhere_median"),
        ms(waits[CHANGE_COUNT / 2]),
        "ms",
    );
    let last = ms(waits[CHANGE_COUNT - 1]);
    figures.add_bounded(format!("{name}_last"), last, "ms", CONVERGENCE_BOUND_MS);
    Ok(figures)
}
