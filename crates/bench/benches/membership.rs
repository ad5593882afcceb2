//! Measures membership: steady cost, the detection of crashed and leaving daemons, mass restarts, and the state at
//! the size that is expected in two years (full size).

use std::{
    hint::black_box,
    process::ExitCode,
    time::{Duration, Instant},
};

use medlarspool_bench::{
    DAEMONS_IN_TWO_YEARS, Figures, LinearFit, MembershipPair, MembershipProcesses, MembershipRun,
    add_members, program_paths, sample_member,
};
use medlarspool_membership::{Membership, MembershipEvent, MembershipSettings};

/// The sizes of the fleets on real sockets, and the first port of each.
const FLEETS: [(usize, u16); 4] = [(25, 21_000), (50, 21_100), (100, 21_200), (200, 21_400)];

/// The numbers of members at which the state of one core is measured.
const STATE_SIZES: [usize; 4] = [1_450, 2_900, 4_350, 5_800];

/// The number of members that is expected in two years.
const FULL_SIZE_MEMBER_COUNT: usize = DAEMONS_IN_TWO_YEARS as usize;

/// The bound on a daemon's bytes a second: a third of what all control may use.
const BYTES_PER_S_BOUND: f64 = 6_000.0;

/// The bound on a daemon's processor time, in thousandths of a percent of a core: a third of what all control may
/// use.
const CORE_BOUND_MILLI: f64 = 600.0;

/// The bound on a daemon's memory, in megabytes: a third of what all control may use.
const MEMORY_BOUND_MB: f64 = 85.0;

/// The time after which no daemon may send requests to a leaving one any more, in milliseconds.
const LEAVING_BOUND_MS: f64 = 3_000.0;

/// The number of cores whose memory is measured together.
const MEASURED_CORE_COUNT: usize = 8;

/// The size of a page of memory, in bytes.
const PAGE_BYTES: f64 = 4_096.0;

fn main() -> ExitCode {
    let mut figures = Figures::default();
    measure_state(&mut figures);
    measure_repair(&mut figures);
    let runs = FLEETS
        .map(|(size, port)| std::thread::spawn(move || MembershipRun::measure_all(size, port)));
    for run in runs {
        match run.join() {
            Ok(measured) => figures.extend(measured),
            Err(_) => figures.add_bounded("run_completed", f64::NAN, "runs", 0.0),
        }
    }
    add_fits(&mut figures);
    match MembershipProcesses::measure_all(program_paths!()) {
        Ok(measured) => figures.extend(measured),
        Err(error) => {
            eprintln!("{error}");
            figures.add_bounded("processes_completed", f64::NAN, "runs", 0.0);
        }
    }
    figures.print();
    if figures.print_bounds() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Fits lines to the figures of the fleets on sockets and adds the extrapolated figures at full size.
fn add_fits(figures: &mut Figures) {
    let logarithm = |size: usize| as_f64(size).ln();
    let full = f64::from(DAEMONS_IN_TWO_YEARS);
    let unbounded = f64::INFINITY;
    let rows = [
        (
            "steady_bytes",
            "bytes/s",
            full,
            BYTES_PER_S_BOUND,
            &as_f64 as &dyn Fn(usize) -> f64,
        ),
        (
            "steady_core_milli",
            "milli%",
            full,
            CORE_BOUND_MILLI,
            &as_f64,
        ),
        (
            "leaving_last",
            "ms",
            full.ln(),
            LEAVING_BOUND_MS,
            &logarithm,
        ),
        (
            "crash_suspected_last",
            "ms",
            full.ln(),
            unbounded,
            &logarithm,
        ),
        ("crash_dead_last", "ms", full.ln(), unbounded, &logarithm),
        ("herd_dead_last", "ms", full.ln(), unbounded, &logarithm),
        ("herd_return_agreed", "ms", full.ln(), unbounded, &logarithm),
        ("restart_all_agreed", "ms", full.ln(), unbounded, &logarithm),
        ("regions_met_agreed", "ms", full.ln(), unbounded, &logarithm),
    ];
    for (name, unit, scaled_full_size, bound, scale) in rows {
        let points: Vec<[f64; 2]> = FLEETS
            .iter()
            .filter_map(|(size, _)| {
                let value = figures.value(&format!("{name}_{size}"))?;
                Some([scale(*size), value])
            })
            .collect();
        let fit = LinearFit::of(&points);
        figures.add(format!("{name}_intercept"), fit.intercept, unit);
        figures.add(format!("{name}_slope"), fit.slope, unit);
        figures.add(format!("{name}_spread"), fit.max_residual, unit);
        figures.add_bounded(
            format!("{name}_at_5800"),
            fit.value_at(scaled_full_size),
            unit,
            bound,
        );
    }
}

/// Measures the memory of a core's state, and the mean time of a tick at full size while no member answers.
fn measure_state(figures: &mut Figures) {
    let mut points = Vec::new();
    for size in STATE_SIZES {
        let before = resident_bytes();
        let now = Instant::now();
        let cores: Vec<Membership> = (0..MEASURED_CORE_COUNT)
            .map(|_| filled_membership(size, now))
            .collect();
        let bytes = (resident_bytes() - before) / as_f64(MEASURED_CORE_COUNT);
        points.push([as_f64(size), bytes]);
        figures.add(format!("state_bytes_{size}"), bytes, "bytes");
        black_box(&cores);
        // Memory that is freed here would be reused for the next size and missing from its figure.
        std::mem::forget(cores);
    }
    let fit = LinearFit::of(&points);
    figures.add("state_bytes_slope", fit.slope, "bytes/member");
    figures.add("state_bytes_spread", fit.max_residual, "bytes");
    let megabytes = fit.value_at(f64::from(DAEMONS_IN_TWO_YEARS)) / 1e6;
    figures.add_bounded("state_at_5800", megabytes, "MB", MEMORY_BOUND_MB);
    let now = Instant::now();
    let mut core = filled_membership(FULL_SIZE_MEMBER_COUNT, now);
    let started = Instant::now();
    let tick_count = 600_u32;
    for second in 1..=tick_count {
        let at = now + Duration::from_secs(second.into());
        let mut actions = Vec::new();
        core.handle(at, MembershipEvent::Tick, &mut actions);
        black_box(actions);
    }
    let each = started.elapsed().as_secs_f64() / f64::from(tick_count);
    figures.add("silent_fleet_tick_5800", each * 1e6, "us");
}

/// Counts the bytes and messages until two views agree, and the bytes of a whole view to compare them with.
fn measure_repair(figures: &mut Figures) {
    let settings = MembershipSettings {
        pages_per_second: 10_000,
        probe_interval: Duration::from_hours(1),
        ..MembershipSettings::default()
    };
    for size in STATE_SIZES {
        let mut pair = MembershipPair::new(size, 2, &settings);
        pair.introduce();
        let agreed = pair.run_until_agreed(Duration::from_mins(2));
        let failure_count = f64::from(u8::from(!agreed));
        figures.add_bounded(format!("join_failed_{size}"), failure_count, "joins", 0.0);
        figures.add(
            format!("join_bytes_{size}"),
            as_f64(pair.repair_bytes),
            "bytes",
        );
        figures.add(
            format!("join_messages_{size}"),
            as_f64(pair.repair_messages),
            "messages",
        );
        let seconds = pair.elapsed.as_secs_f64();
        figures.add(format!("join_time_{size}"), seconds, "s");
    }
    for missing in [1, 10, 100, 1_000] {
        let mut pair = MembershipPair::new(FULL_SIZE_MEMBER_COUNT - missing, 2, &settings);
        pair.introduce();
        let joined = pair.run_until_agreed(Duration::from_mins(2));
        pair.diverge(FULL_SIZE_MEMBER_COUNT);
        let agreed = joined && pair.run_until_agreed(Duration::from_mins(10));
        let failure_count = f64::from(u8::from(!agreed));
        figures.add_bounded(
            format!("repair_failed_{missing}"),
            failure_count,
            "repairs",
            0.0,
        );
        figures.add(
            format!("repair_bytes_{missing}"),
            as_f64(pair.repair_bytes),
            "bytes",
        );
    }
    let whole = MembershipPair::new(FULL_SIZE_MEMBER_COUNT, 2, &settings).whole_view_bytes();
    figures.add("whole_view_bytes_5800", as_f64(whole), "bytes");
}

fn filled_membership(member_count: usize, now: Instant) -> Membership {
    let settings = MembershipSettings::default();
    let mut core = Membership::new(settings, sample_member(0), 1, now);
    add_members(&mut core, member_count, now);
    core
}

fn as_f64(value: usize) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}

fn resident_bytes() -> f64 {
    let statistics = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statistics.split_whitespace().nth(1);
    let pages = pages.and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}
