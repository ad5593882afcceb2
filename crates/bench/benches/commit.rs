//! Measures what a change costs the platform and a daemon that reads it, and how many changes are accepted when
//! operators commit at the same time.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use medlarspool_bench::{
    CHANGES_PER_DAY, MAX_STORE_READS_PER_S, MAX_STORE_WRITES_PER_S, MeteredPlatform, SampleLists,
};
use medlarspool_config::{EntryChange, ListsPatch, Snapshot};
use medlarspool_platform::{
    Change, CommitError, CommitOutcome, commit, read_head, read_lists, read_snapshot,
};
use medlarspool_types::ConfigVersion;

/// The number of measured changes: two whole cycles from one checkpoint to the next.
const CHANGE_COUNT: u32 = 202;
const CHANGES_PER_OPERATOR: usize = 20;
const CUSTOMER_COUNTS: [usize; 3] = [1_000, 10_000, 100_000];
const DAY_SECONDS: f64 = 86_400.0;
const OPERATOR_COUNTS: [usize; 3] = [1, 4, 16];
const SEED: u64 = 13;

fn main() {
    let mut missed_bounds = Vec::new();
    for customer_count in CUSTOMER_COUNTS {
        missed_bounds.extend(measure_changes(customer_count));
    }
    for operator_count in OPERATOR_COUNTS {
        missed_bounds.extend(measure_race(operator_count));
    }
    if missed_bounds.is_empty() {
        println!("bound: held");
        return;
    }
    println!("bound: missed {}", missed_bounds.join(" "));
    std::process::exit(1);
}

/// Commits changes one after the other and reads each as a daemon does, whole and by its delta. Returns the
/// bounds that were missed.
fn measure_changes(customer_count: usize) -> Vec<String> {
    let platform = MeteredPlatform::default();
    let mut sample = SampleLists::new(customer_count, SEED);
    commit(&platform, &change("first", 0, &sample)).expect("first");
    let mut held_snapshot = read_newest(&platform, None);
    let (counts_before, written_bytes_before) =
        (platform.platform.counts(), platform.written_bytes());
    let mut commits = Histogram::<u64>::new(3).expect("three digits are a valid precision");
    let mut delta_read_bytes = 0;
    let mut whole_read_bytes = 0;
    for change_number in 1..=CHANGE_COUNT {
        sample.change_customers(1);
        let request = change(
            &change_number.to_string(),
            u64::from(change_number),
            &sample,
        );
        let start = Instant::now();
        commit(&platform, &request).expect("accepted");
        commits += micros(start.elapsed());
        let before = platform.read_bytes();
        read_newest(&platform, None);
        whole_read_bytes += platform.read_bytes() - before;
        let before = platform.read_bytes();
        held_snapshot = read_newest(&platform, Some(&held_snapshot));
        delta_read_bytes += platform.read_bytes() - before;
    }
    let bytes_per_change =
        (platform.written_bytes() - written_bytes_before) / u64::from(CHANGE_COUNT);
    let writes_per_change = ratio(
        platform.platform.counts().writes - counts_before.writes,
        u64::from(CHANGE_COUNT),
    );
    println!("written_each_{customer_count}_customers {bytes_per_change} bytes");
    println!("writes_each_{customer_count}_customers {writes_per_change:.2} count");
    println!(
        "follow_each_{customer_count}_customers {} bytes",
        delta_read_bytes / u64::from(CHANGE_COUNT)
    );
    println!(
        "whole_each_{customer_count}_customers {} bytes",
        whole_read_bytes / u64::from(CHANGE_COUNT)
    );
    println!(
        "commit_{customer_count}_customers_p50 {} us",
        commits.value_at_quantile(0.5)
    );
    println!(
        "commit_{customer_count}_customers_p99 {} us",
        commits.value_at_quantile(0.99)
    );
    let per_second = writes_per_change * f64::from(CHANGES_PER_DAY) / DAY_SECONDS;
    println!("writes_{customer_count}_customers_at_12000_a_day {per_second:.3} per_second");
    let is_over_limit = per_second > MAX_STORE_WRITES_PER_S;
    is_over_limit
        .then(|| format!("writes_{customer_count}"))
        .into_iter()
        .collect()
}

/// Lets operators commit edits of different customers at the same time. Returns the bounds that were missed.
fn measure_race(operator_count: usize) -> Vec<String> {
    let platform = MeteredPlatform::default();
    let sample = SampleLists::new(1_000, SEED);
    commit(&platform, &change("first", 0, &sample)).expect("first");
    let before = platform.platform.counts();
    let outcomes: Vec<_> = std::thread::scope(|scope| {
        let threads = (0..operator_count).map(|operator| {
            let platform = &platform;
            scope.spawn(move || commit_edits(platform, operator))
        });
        let threads: Vec<_> = threads.collect();
        threads
            .into_iter()
            .flat_map(|thread| thread.join().expect("the operator's thread doesn't panic"))
            .collect()
    });
    let accepted = outcomes.iter().filter(|outcome| outcome.is_ok()).count();
    let reads = platform.platform.counts().reads - before.reads;
    let head = read_head(&platform).expect("read").unwrap_or_default();
    println!("race_{operator_count}_operators_accepted {accepted} count");
    println!(
        "race_{operator_count}_operators_told_to_try_again {} count",
        outcomes.len() - accepted
    );
    println!(
        "race_{operator_count}_operators_reads_each {} count",
        reads / outcomes.len() as u64
    );
    let per_second = ratio(reads, outcomes.len() as u64) * f64::from(CHANGES_PER_DAY) / DAY_SECONDS;
    println!("race_{operator_count}_operators_reads_at_12000_a_day {per_second:.2} per_second");
    let mut missed_bounds = Vec::new();
    if head.version.0 != accepted as u64 + 1 {
        missed_bounds.push(format!("one_version_each_{operator_count}"));
    }
    if per_second > MAX_STORE_READS_PER_S {
        missed_bounds.push(format!("reads_{operator_count}"));
    }
    missed_bounds
}

/// Commits changes that each remove a different customer that no other operator edits.
fn commit_edits(
    platform: &MeteredPlatform,
    operator: usize,
) -> Vec<Result<CommitOutcome, CommitError>> {
    let edits = (0..CHANGES_PER_OPERATOR).map(|index| {
        let head = read_head(platform).expect("read").expect("head");
        let lists = read_lists(platform, head).expect("lists");
        let customer = format!("customer-{:06}", operator * CHANGES_PER_OPERATOR + index);
        let remove = EntryChange::RemoveCustomer(customer.parse().expect("id"));
        let request = Change {
            asked_at_ms: 0,
            base: head.version,
            id: format!("{operator}-{index}").parse().expect("id"),
            lists: ListsPatch::new([remove]).apply(&lists).expect("lists"),
            operator: operator.to_string(),
            sent_before: false,
        };
        commit(platform, &request)
    });
    edits.collect()
}

fn change(id: &str, base: u64, sample: &SampleLists) -> Change {
    Change {
        asked_at_ms: 0,
        base: ConfigVersion(base),
        id: id.parse().expect("id"),
        lists: sample.lists(),
        operator: "operator".into(),
        sent_before: false,
    }
}

fn read_newest(platform: &MeteredPlatform, base: Option<&Snapshot>) -> Snapshot {
    let head = read_head(platform).expect("read").expect("head");
    read_snapshot(platform, base, head).expect("snapshot")
}

fn ratio(count: u64, total: u64) -> f64 {
    let as_f64 = |count: u64| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    as_f64(count) / as_f64(total)
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
