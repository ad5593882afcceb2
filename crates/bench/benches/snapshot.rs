//! Measures the processor time and memory that a daemon uses to apply a change, compared with building the whole
//! lists.

use std::{
    hint::black_box,
    sync::Arc,
    time::{Duration, Instant},
};

use hdrhistogram::Histogram;
use medlarspool_bench::{CHANGES_PER_DAY, SampleLists};
use medlarspool_config::{Delta, Lists, Snapshot};

/// The versions that exist at once when memory is measured.
const COPY_COUNT: u64 = 4;
const CUSTOMER_COUNTS: [usize; 3] = [1_000, 10_000, 100_000];
/// The share of a core that applying changes may use: a tenth of the 1.8% for all control.
const MAX_CORE_SHARE: f64 = 0.0018;
/// The memory that one version of the lists may use: a quarter of a daemon's 256 MB.
const MAX_LISTS_BYTES: u64 = 64_000_000;
const PAGE_BYTES: u64 = 4096;
const ROUTE_COUNT: u32 = 100_000;
const RUN_COUNT: usize = 200;
const SEED: u64 = 11;

fn main() {
    let mut missed_bounds = Vec::new();
    for customer_count in CUSTOMER_COUNTS {
        missed_bounds.extend(measure(customer_count));
    }
    if missed_bounds.is_empty() {
        println!("bound: held");
        return;
    }
    println!("bound: missed {}", missed_bounds.join(" "));
    std::process::exit(1);
}

/// Measures lists of this size, prints the figures and returns the missed bounds.
fn measure(customer_count: usize) -> Vec<String> {
    let mut sample = SampleLists::new(customer_count, SEED);
    let encoded = sample.lists().encode();
    let lists_bytes = lists_bytes(&encoded);
    let base = sample.snapshot();
    let build_times = measure_time(RUN_COUNT / 40, || {
        let lists = Lists::decode(&encoded).expect("own encoding");
        Snapshot::build(base.head(), Arc::new(lists)).expect("whole")
    });
    print_quantiles(customer_count, "whole_from_bytes", &build_times);
    sample.change_customers(1);
    let next = sample.snapshot();
    let delta = Delta::between(&base, &next);
    let apply_times = measure_time(RUN_COUNT, || delta.apply(&base).expect("its base"));
    print_quantiles(customer_count, "apply_one_change", &apply_times);
    let apply_and_diff_times = measure_time(RUN_COUNT, || {
        Delta::between(&base, &delta.apply(&base).expect("its base"))
    });
    print_quantiles(
        customer_count,
        "apply_and_find_one_change",
        &apply_and_diff_times,
    );
    let digest_times = measure_time(RUN_COUNT / 10, || base.lists().digest());
    print_quantiles(customer_count, "self_check", &digest_times);
    print_route_lookup(customer_count, &base);
    println!("lists_{customer_count}_customers_resident {lists_bytes} bytes");
    let core_share = apply_times.mean() * f64::from(CHANGES_PER_DAY) / 86_400e6;
    println!("apply_{customer_count}_customers_at_12000_a_day {core_share:.6} core");
    let mut missed_bounds = Vec::new();
    if core_share > MAX_CORE_SHARE {
        missed_bounds.push(format!("apply_{customer_count}"));
    }
    if lists_bytes > MAX_LISTS_BYTES {
        missed_bounds.push(format!("resident_{customer_count}"));
    }
    missed_bounds
}

/// Returns the memory of one version in bytes: the mean of [`COPY_COUNT`] versions that exist at the same time.
///
/// Before the measurement, [`COPY_COUNT`] further versions are allocated and kept until its end. They take up
/// the free memory that the process already has, so that the measured copies need new memory.
fn lists_bytes(encoded: &[u8]) -> u64 {
    let decode = || Lists::decode(encoded).expect("own encoding");
    let warm_up: Vec<Lists> = (0..COPY_COUNT).map(|_| decode()).collect();
    let before_bytes = resident_bytes();
    let copies: Vec<Lists> = (0..COPY_COUNT).map(|_| decode()).collect();
    let bytes = resident_bytes().saturating_sub(before_bytes) / COPY_COUNT;
    drop(black_box((warm_up, copies)));
    bytes
}

fn print_route_lookup(customer_count: usize, snapshot: &Snapshot) {
    let wanted: Vec<_> = snapshot.lists().customers().take(1000).collect();
    let service = &snapshot.lists().services()[0].service;
    let start = Instant::now();
    for index in 0..ROUTE_COUNT {
        let customer = wanted[index as usize % wanted.len()];
        black_box(snapshot.route(&customer.customer, service));
    }
    let time_per_lookup = start.elapsed() / ROUTE_COUNT;
    println!(
        "route_{customer_count}_customers_mean {} ns",
        time_per_lookup.as_nanos()
    );
}

fn measure_time<T>(runs: usize, mut run: impl FnMut() -> T) -> Histogram<u64> {
    let mut histogram = Histogram::new(3).expect("three digits are a valid precision");
    for _ in 0..runs {
        let start = Instant::now();
        let result = run();
        histogram += micros(start.elapsed());
        drop(black_box(result));
    }
    histogram
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn print_quantiles(customer_count: usize, name: &str, histogram: &Histogram<u64>) {
    for (quantile, text) in [(0.5, "p50"), (0.99, "p99")] {
        let value = histogram.value_at_quantile(quantile);
        println!("{name}_{customer_count}_customers_{text} {value} us");
    }
}

/// Returns the process's resident memory in bytes.
fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split(' ').nth(1).and_then(|field| field.parse().ok());
    pages.unwrap_or(0_u64) * PAGE_BYTES
}
