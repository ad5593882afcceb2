//! Measures what a daemon uses for control: memory, processor time and bytes, at several fleet and list sizes.
//!
//! `cargo bench -p medlarspool-bench --bench daemon_cost [-- SIZE...]`. The bounds are the limits
//! stated for two years from now; they apply to the figures extrapolated to that size. See docs/CAPACITY.md.

use std::{process::ExitCode, time::Instant};

use medlarspool_bench::{
    DAEMONS_IN_TWO_YEARS, DaemonCost, Figures, LinearFit, MAX_CONTROL_BYTES_PER_S,
    MAX_CORE_PERCENT, MAX_RESIDENT_MB, MAX_STORE_READS_PER_S, ProcessFleet, SampleLists,
    add_daemons_without_upstream, program_paths, wait_for_version,
};

const BYTES_PER_MB: f64 = 1_000_000.0;
const PERCENT: f64 = 100.0;

/// The number of customers in the lists while the fleet size varies.
const CUSTOMER_COUNT: usize = 1_000;

/// The numbers of customers for which a small fleet is measured.
const CUSTOMER_COUNTS: [usize; 3] = [1_000, 10_000, 100_000];

/// The number of daemons while the size of the lists varies.
const SMALL_FLEET_DAEMON_COUNT: usize = 25;

const SEED: u64 = 11;

fn main() -> ExitCode {
    match run() {
        Ok(figures) if figures.print_bounds() => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("daemon_cost: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<Figures, String> {
    let mut figures = Figures::default();
    let mut cost_by_fleet_size = Vec::new();
    for daemons in fleet_sizes() {
        let cost = measure(&mut figures, daemons, CUSTOMER_COUNT)?;
        cost_by_fleet_size.push((daemons, cost));
    }
    extrapolate(&mut figures, &cost_by_fleet_size);
    for customer_count in CUSTOMER_COUNTS {
        let cost = measure(&mut figures, SMALL_FLEET_DAEMON_COUNT, customer_count)?;
        let name = format!("limit_{customer_count}_customers");
        let resident_mb = cost.resident_bytes / BYTES_PER_MB;
        figures.add_bounded(
            format!("{name}_resident"),
            resident_mb,
            "MB",
            MAX_RESIDENT_MB,
        );
        let core_percent = cost.core_share * PERCENT;
        figures.add_bounded(
            format!("{name}_core"),
            core_percent,
            "percent",
            MAX_CORE_PERCENT,
        );
    }
    figures.print();
    Ok(figures)
}

/// Extrapolates the lines through the measured fleets to the size expected in two years.
fn extrapolate(figures: &mut Figures, cost_by_fleet_size: &[(usize, DaemonCost)]) {
    let mut add_extrapolation = |name: &str, unit, limit, value: fn(&DaemonCost) -> f64| {
        let points: Vec<_> = cost_by_fleet_size
            .iter()
            .map(|(daemons, cost)| [as_f64(*daemons), value(cost)])
            .collect();
        let fit = LinearFit::of(&points);
        figures.add(
            format!("{name}_slope_per_1000_daemons"),
            fit.slope * 1000.0,
            unit,
        );
        figures.add(format!("{name}_spread"), fit.max_residual, unit);
        figures.add_bounded(
            format!("{name}_at_5800_daemons"),
            fit.value_at(f64::from(DAEMONS_IN_TWO_YEARS)),
            unit,
            limit,
        );
    };
    add_extrapolation("control", "bytes_per_s", MAX_CONTROL_BYTES_PER_S, |cost| {
        cost.control_bytes_per_s
    });
    add_extrapolation("core", "percent", MAX_CORE_PERCENT, |cost| {
        cost.core_share * PERCENT
    });
    add_extrapolation("resident", "MB", MAX_RESIDENT_MB, |cost| {
        cost.resident_bytes / BYTES_PER_MB
    });
    add_extrapolation("store", "requests_per_s", MAX_STORE_READS_PER_S, |cost| {
        cost.store_requests_per_s
    });
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

fn fleet_sizes() -> Vec<usize> {
    let sizes: Vec<usize> = std::env::args()
        .filter_map(|argument| argument.parse().ok())
        .collect();
    if sizes.is_empty() {
        return vec![25, 50, 100, 200];
    }
    sizes
}

/// Measures one fleet in all phases and returns the cost at the rate of changes expected in two years.
fn measure(
    figures: &mut Figures,
    daemon_count: usize,
    customer_count: usize,
) -> Result<DaemonCost, String> {
    let mut fleet = ProcessFleet::start(program_paths!())?;
    let mut lists = SampleLists::new(customer_count, SEED);
    fleet.commit(lists.lists())?;
    let started_at = Instant::now();
    add_daemons_without_upstream(&mut fleet, daemon_count)?;
    let mut add_cost = |phase: &str, cost: &DaemonCost| {
        let name = format!("{daemon_count}_daemons_{customer_count}_customers_{phase}");
        figures.add(
            format!("{name}_control"),
            cost.control_bytes_per_s,
            "bytes_per_s",
        );
        figures.add(format!("{name}_core"), cost.core_share * PERCENT, "percent");
        figures.add(
            format!("{name}_resident"),
            cost.resident_bytes / BYTES_PER_MB,
            "MB",
        );
        figures.add(
            format!("{name}_store"),
            cost.store_requests_per_s,
            "requests_per_s",
        );
    };
    add_cost(
        "joining",
        &DaemonCost::measure_joining(&fleet, started_at, 1)?,
    );
    add_cost("idle", &DaemonCost::measure_idle(&fleet)?);
    let changing = DaemonCost::measure_changing(&fleet, &mut lists)?;
    add_cost("changing", &changing);
    wait_for_version(&fleet, 2)?;
    Ok(changing)
}
