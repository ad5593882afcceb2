//! The time that the fleet adds to a call, and its answers under overload, with separate processes.
//!
//! `cargo bench -p medlarspool-bench --bench calls`. Requests are sent on schedule (open loop). The added
//! time is the difference to the same load sent directly to the upstreams, in the same run. Its bound is the
//! one that the users stated. See docs/design/daemon.md.

use std::{process::ExitCode, thread, time::Duration};

use medlarspool_bench::{
    CallLoad, CallLoadResult, Figures, ProcessFleet, UpstreamBehaviour, program_paths,
};

const CREDENTIAL: &str = "bench-credential";

/// The calls per second of one daemon, as the users stated them.
const DAEMON_CALLS_PER_S: f64 = 65.0;

/// The most that the fleet may add to the 99th percentile of call times, in milliseconds.
const MAX_ADDED_MS: f64 = 0.4;

/// The minimum ratio of requests answered in time to the capacity, under overload.
const MIN_ANSWERED_SHARE: f64 = 0.95;

/// An answered share above this is a measurement error: the slots can't run more than their capacity.
const MAX_PLAUSIBLE_SHARE: f64 = 1.05;

/// The number of rounds. In each round the load is sent directly and then through the fleet, so that both run
/// under the same conditions on the machine.
const ROUND_COUNT: usize = 3;

const ROUND_DURATION: Duration = Duration::from_secs(4);
const OVERLOAD_DURATION: Duration = Duration::from_secs(6);
const SERVICE_TIME: Duration = Duration::from_millis(1);

/// How long a caller waits under overload.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// The services of each deployment with their numbers of upstreams.
const DEPLOYMENTS: [(&str, [(&str, usize); 4]); 2] = [
    (
        "trust",
        [
            ("alerts", 3),
            ("bookings", 4),
            ("sightings", 5),
            ("sky-map", 6),
        ],
    ),
    (
        "atlas",
        [
            ("alerts", 4),
            ("bookings", 4),
            ("sightings", 5),
            ("sky-map", 5),
        ],
    ),
];

/// The unequal times that a request takes at the upstreams of the overloaded service.
const SERVICE_TIMES_MS: [u64; 4] = [50, 50, 100, 200];

const SLOT_COUNT: f64 = 6.0;

fn main() -> ExitCode {
    match run() {
        Ok(figures) if figures.print_bounds() => ExitCode::SUCCESS,
        Ok(_) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("calls: {error}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<Figures, String> {
    let mut figures = Figures::default();
    for (name, services) in DEPLOYMENTS {
        figures.extend(measure_added_time(name, &services)?);
    }
    figures.extend(measure_overload()?);
    figures.print();
    Ok(figures)
}

/// Sends the same load directly to the upstreams and through the fleet, and measures the difference of the
/// times. A median below the service time, on either path, is an error of the measurement and misses a bound.
fn measure_added_time(name: &str, services: &[(&str, usize)]) -> Result<Figures, String> {
    let mut fleet = ProcessFleet::start(program_paths!())?;
    for (service, upstreams) in services {
        for index in 0..*upstreams {
            let zone = format!("zone-{}", index % 3);
            fleet.add(&zone, service, UpstreamBehaviour::Plain, SERVICE_TIME)?;
        }
    }
    let names: Vec<&str> = services.iter().map(|(service, _)| *service).collect();
    prepare(&fleet, &names)?;
    let direct = load(direct_urls(&fleet), fleet.daemons.len());
    let through_fleet = load(fleet_urls(&fleet, &names), fleet.daemons.len());
    let mut results = [CallLoadResult::default(), CallLoadResult::default()];
    for _ in 0..ROUND_COUNT {
        results[0].add(direct.run()?);
        results[1].add(through_fleet.run()?);
    }
    let mut figures = Figures::default();
    for (path, result) in ["straight", "through"].iter().zip(&results) {
        for (label, quantile) in [("median", 0.5), ("99_in_100", 0.99)] {
            let time = result.quantile_ms(quantile);
            figures.add(format!("{name}_{path}_{label}"), time, "ms");
        }
        figures.add(
            format!("{name}_{path}_answered"),
            count(result.answered()),
            "count",
        );
        add_failures(&mut figures, &format!("{name}_{path}"), result);
        let service_time_ms = SERVICE_TIME.as_secs_f64() * 1_000.0;
        let missing = (service_time_ms - result.quantile_ms(0.5)).max(0.0);
        figures.add_bounded(
            format!("{name}_{path}_below_service_time"),
            missing,
            "ms",
            0.0,
        );
    }
    let added = |quantile| results[1].quantile_ms(quantile) - results[0].quantile_ms(quantile);
    figures.add(format!("{name}_added_median"), added(0.5), "ms");
    figures.add_bounded(
        format!("{name}_added_99_in_100"),
        added(0.99),
        "ms",
        MAX_ADDED_MS,
    );
    Ok(figures)
}

/// Measures the share of the capacity that is answered at half, full and threefold load.
fn measure_overload() -> Result<Figures, String> {
    let mut fleet = ProcessFleet::start(program_paths!())?;
    for time_ms in SERVICE_TIMES_MS {
        let time = Duration::from_millis(time_ms);
        fleet.add("zone-0", "alerts", UpstreamBehaviour::Plain, time)?;
    }
    prepare(&fleet, &["alerts"])?;
    let capacity: f64 = SERVICE_TIMES_MS
        .iter()
        .map(|time_ms| SLOT_COUNT / Duration::from_millis(*time_ms).as_secs_f64())
        .sum();
    let mut figures = Figures::default();
    figures.add("capacity", capacity, "calls/s");
    for percent in [50, 100, 300] {
        let load = CallLoad {
            duration: OVERLOAD_DURATION,
            max_wait: MAX_WAIT,
            requests_per_second: capacity * f64::from(percent) / 100.0,
            sender_count: 1_000,
            ..load(fleet_urls(&fleet, &["alerts"]), 1)
        };
        let result = load.run()?;
        let name = format!("load_{percent}_percent");
        let possible = capacity * (f64::from(percent) / 100.0).min(1.0);
        let share = count(result.answered_in_time) / (possible * OVERLOAD_DURATION.as_secs_f64());
        figures.add(format!("{name}_answered_share"), share, "1");
        figures.add(format!("{name}_median"), result.quantile_ms(0.5), "ms");
        let max_wait_ms = MAX_WAIT.as_secs_f64() * 1_000.0;
        let p99_ms = result.quantile_ms(0.99);
        figures.add_bounded(format!("{name}_99_in_100"), p99_ms, "ms", max_wait_ms);
        figures.add(
            format!("{name}_until_done"),
            result.elapsed.as_secs_f64(),
            "s",
        );
        let excess = (share - MAX_PLAUSIBLE_SHARE).max(0.0);
        figures.add_bounded(format!("{name}_share_above_possible"), excess, "1", 0.0);
        figures.add(format!("{name}_refused"), count(result.refused), "count");
        add_failures(&mut figures, &name, &result);
        if percent == 300 {
            figures.add_bounded(
                format!("{name}_unanswered_share"),
                1.0 - share,
                "1",
                1.0 - MIN_ANSWERED_SHARE,
            );
        }
    }
    Ok(figures)
}

fn add_failures(figures: &mut Figures, name: &str, result: &CallLoadResult) {
    figures.add_bounded(format!("{name}_wrong"), count(result.wrong), "count", 0.0);
    figures.add(format!("{name}_lost"), count(result.lost), "count");
    figures.add(format!("{name}_unknown"), count(result.unknown), "count");
}

fn load(urls: Vec<String>, daemon_count: usize) -> CallLoad {
    let daemon_count_u32 = u32::try_from(daemon_count).unwrap_or(u32::MAX);
    CallLoad {
        credential: CREDENTIAL.into(),
        duration: ROUND_DURATION,
        max_wait: Duration::from_secs(5),
        requests_per_second: DAEMON_CALLS_PER_S * f64::from(daemon_count_u32),
        sender_count: daemon_count * 2,
        urls,
    }
}

/// Puts lists, waits until each daemon answers for each service, and lets the fleet settle.
fn prepare(fleet: &ProcessFleet, services: &[&str]) -> Result<(), String> {
    fleet.put(0, CREDENTIAL, services)?;
    for daemon in 0..fleet.daemons.len() {
        for service in services {
            fleet.call_until(daemon, &format!("/{service}/ready"), CREDENTIAL, 200)?;
        }
    }
    thread::sleep(Duration::from_secs(5));
    Ok(())
}

fn direct_urls(fleet: &ProcessFleet) -> Vec<String> {
    let upstreams = fleet.daemons.iter().filter_map(|daemon| {
        let upstream = daemon.upstream_settings.as_ref()?;
        Some(format!("http://{}", upstream.address))
    });
    upstreams.collect()
}

fn fleet_urls(fleet: &ProcessFleet, services: &[&str]) -> Vec<String> {
    let daemons = fleet.daemons.iter().enumerate();
    let urls = daemons.map(|(index, daemon)| {
        let service = services[index % services.len()];
        format!("http://{}/{service}", daemon.settings.callers_address)
    });
    urls.collect()
}

fn count(value: u64) -> f64 {
    f64::from(u32::try_from(value).unwrap_or(u32::MAX))
}
