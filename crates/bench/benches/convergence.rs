//! Measures how long an accepted change takes to reach every daemon and how many bytes that takes.
//!
//! The spread strategies run at the same time as the baseline, in which daemons poll. See
//! `docs/design/spread.md`.

use std::{io, process::ExitCode, time::Duration};

use medlarspool_bench::{
    ConvergenceFleet, ConvergenceLayout, ConvergenceRun, ConvergenceStrategy, DAEMONS_IN_TWO_YEARS,
    Figures, LinearFit, MAX_CONTROL_BYTES_PER_S, MAX_STORE_READS_PER_S,
    measure_process_convergence, program_paths,
};
use medlarspool_spread::{SpreadMode, SpreadPreference, SpreadSettings};

const CURVE_DAEMON_COUNT: usize = 100;
const CURVE_DIGEST_INTERVALS_MS: [u64; 3] = [500, 1_000, 2_000];
const CURVE_FAN_OUTS: [usize; 4] = [1, 2, 3, 4];
const FAULT_DAEMON_COUNT: usize = 100;
/// The sizes of the fleets of real processes.
const PROCESS_FLEET_SIZES: [usize; 2] = [50, 200];
const SEED: u64 = 7;
/// The fleet sizes through whose figures lines are fitted.
const SIZES: [usize; 4] = [25, 50, 100, 200];
/// The number of daemons in each of the two present deployments.
const TODAY_DAEMON_COUNT: usize = 18;

fn main() -> io::Result<ExitCode> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()?;
    let mut figures = runtime.block_on(measure())?;
    for daemons in PROCESS_FLEET_SIZES {
        let part =
            measure_process_convergence(program_paths!(), daemons).map_err(io::Error::other)?;
        figures.print_and_extend(part);
    }
    Ok(if figures.print_bounds() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}

async fn measure() -> io::Result<Figures> {
    let mut figures = Figures::default();
    figures.print_and_extend(measure_today().await?);
    figures.print_and_extend(measure_scaling().await?);
    figures.print_and_extend(measure_faults().await?);
    figures.print_and_extend(measure_curve().await?);
    Ok(figures)
}

async fn start_run(
    daemon_count: usize,
    layout: ConvergenceLayout,
    strategy: ConvergenceStrategy,
    prefix: String,
) -> io::Result<ConvergenceRun> {
    let fleet = ConvergenceFleet::start(daemon_count, layout, strategy.settings(), SEED).await?;
    ConvergenceRun::start(fleet, prefix, strategy).await
}

/// Measures the two present deployments, each with its default strategy.
async fn measure_today() -> io::Result<Figures> {
    let deployment = async |name: &str, layout, strategy| {
        let mut run = start_run(TODAY_DAEMON_COUNT, layout, strategy, name.into()).await?;
        run.measure_single_changes(10).await;
        run.measure_steady(1).await;
        io::Result::Ok(run.finish())
    };
    let (trust, atlas) = tokio::try_join!(
        deployment(
            "trust",
            ConvergenceLayout::TRUST,
            ConvergenceStrategy::Convergence
        ),
        deployment(
            "atlas",
            ConvergenceLayout::ATLAS,
            ConvergenceStrategy::ControlBytes
        ),
    )?;
    let mut figures = trust;
    figures.extend(atlas);
    Ok(figures)
}

/// Measures single changes and the steady rate at four fleet sizes, and fits a line through the sizes.
async fn measure_scaling() -> io::Result<Figures> {
    let mut figures = Figures::default();
    let [small, medium, large, largest] = SIZES;
    let (small_figures, medium_figures) =
        tokio::try_join!(measure_scaling_at(small), measure_scaling_at(medium))?;
    for part in [
        small_figures,
        medium_figures,
        measure_scaling_at(large).await?,
        measure_scaling_at(largest).await?,
    ] {
        figures.extend(part);
    }
    for strategy in ConvergenceStrategy::ALL {
        add_fit(
            &mut figures,
            strategy,
            "steady_peer_bytes",
            "B/s/daemon",
            MAX_CONTROL_BYTES_PER_S,
        );
        add_fit(
            &mut figures,
            strategy,
            "steady_store_fleet_bytes",
            "B/s/fleet",
            f64::INFINITY,
        );
        add_fit(
            &mut figures,
            strategy,
            "steady_store_reads",
            "1/s/fleet",
            MAX_STORE_READS_PER_S,
        );
    }
    Ok(figures)
}

async fn measure_scaling_at(daemon_count: usize) -> io::Result<Figures> {
    for_each_strategy(async |strategy| {
        let prefix = format!("{}_{daemon_count}", strategy.name());
        let mut run =
            start_run(daemon_count, ConvergenceLayout::TWO_YEARS, strategy, prefix).await?;
        run.measure_single_changes(6).await;
        run.measure_steady(2).await;
        io::Result::Ok(run.finish())
    })
    .await
}

/// Fits a line through the figures of all sizes and adds the value at the size that is expected in two years.
#[expect(clippy::cast_precision_loss, reason = "sizes are small")]
fn add_fit(
    figures: &mut Figures,
    strategy: ConvergenceStrategy,
    name: &str,
    unit: &'static str,
    max: f64,
) {
    let points = SIZES.map(|daemons| {
        let value = figures.value(&format!("{}_{daemons}_{name}", strategy.name()));
        [daemons as f64, value.unwrap_or(f64::NAN)]
    });
    let line = LinearFit::of(&points);
    let prefix = format!("{}_{name}", strategy.name());
    figures.add(format!("{prefix}_intercept"), line.intercept, unit);
    figures.add(
        format!("{prefix}_slope_a_1000_daemons"),
        line.slope * 1_000.0,
        unit,
    );
    figures.add(format!("{prefix}_fit_spread"), line.max_residual, unit);
    let name = format!("{prefix}_at_5800");
    let value = line.value_at(f64::from(DAEMONS_IN_TWO_YEARS));
    if strategy.is_bounded() {
        figures.add_bounded(name, value, unit, max);
    } else {
        figures.add(name, value, unit);
    }
}

/// Runs a measurement for all strategies at the same time.
async fn for_each_strategy<Run>(measure: impl Fn(ConvergenceStrategy) -> Run) -> io::Result<Figures>
where
    Run: Future<Output = io::Result<Figures>>,
{
    let [poll, convergence, control_bytes] = ConvergenceStrategy::ALL.map(measure);
    let (mut figures, convergence_figures, control_bytes_figures) =
        tokio::try_join!(poll, convergence, control_bytes)?;
    figures.extend(convergence_figures);
    figures.extend(control_bytes_figures);
    Ok(figures)
}

/// Measures every fault, one after the other, for each strategy.
async fn measure_faults() -> io::Result<Figures> {
    for_each_strategy(async |strategy| {
        let prefix = format!("{}_{FAULT_DAEMON_COUNT}", strategy.name());
        let mut run = start_run(
            FAULT_DAEMON_COUNT,
            ConvergenceLayout::TWO_YEARS,
            strategy,
            prefix,
        )
        .await?;
        run.measure_burst(100).await;
        run.measure_store_outage(3).await;
        run.measure_zone_partition(20).await;
        run.measure_lossy_network(30).await;
        run.measure_mass_restart(5).await?;
        io::Result::Ok(run.finish())
    })
    .await
}

/// Measures convergence and control bytes for each pair of fan-out and digest interval; faster convergence
/// takes more bytes.
async fn measure_curve() -> io::Result<Figures> {
    let mut runs = Vec::new();
    for fan_out in CURVE_FAN_OUTS {
        for digest_interval_ms in CURVE_DIGEST_INTERVALS_MS {
            runs.push(tokio::spawn(measure_curve_point(
                fan_out,
                digest_interval_ms,
            )));
        }
    }
    let mut figures = Figures::default();
    for run in runs {
        figures.extend(run.await.map_err(io::Error::other)??);
    }
    Ok(figures)
}

async fn measure_curve_point(fan_out: usize, digest_interval_ms: u64) -> io::Result<Figures> {
    let settings = SpreadSettings {
        digest_interval: Duration::from_millis(digest_interval_ms),
        fan_out,
        join_spread: Duration::from_secs(1),
        mode: SpreadMode::SharedBudget,
        ..SpreadSettings::for_preference(SpreadPreference::Convergence)
    };
    let layout = ConvergenceLayout::TWO_YEARS;
    let fleet = ConvergenceFleet::start(CURVE_DAEMON_COUNT, layout, settings, SEED).await?;
    let prefix = format!("curve_fan_out_{fan_out}_digest_{digest_interval_ms}_ms");
    let mut run = ConvergenceRun::start(fleet, prefix, ConvergenceStrategy::Convergence).await?;
    run.measure_single_changes(10).await;
    run.measure_steady(1).await;
    Ok(run.finish())
}
