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
const CHANGES: u32 = 202;
const CHANGES_PER_OPERATOR: usize = 20;
const CUSTOMERS: [usize; 3] = [1_000, 10_000, 100_000];
const DAY_SECONDS: f64 = 86_400.0;
const OPERATORS: [usize; 3] = [1, 4, 16];
const SEED: u64 = 13;

fn main() {
    let mut missed_bounds = Vec::new();
    for customers in CUSTOMERS {
        missed_bounds.extend(measure_changes(customers));
    }
    for operators in OPERATORS {
        missed_bounds.extend(measure_race(operators));
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
fn measure_changes(customers: usize) -> Vec<String> {
    let platform = MeteredPlatform::default();
    let mut sample = SampleLists::new(customers, SEED);
    commit(&platform, &change("first", 0, &sample)).expect("first");
    let mut held_snapshot = read_newest(&platform, None);
    let (counts, written) = (platform.platform.counts(), platform.written_bytes());
    let mut commits = Histogram::<u64>::new(3).expect("three digits are a valid precision");
    let mut follow_bytes = 0;
    let mut whole_bytes = 0;
    for number in 1..=CHANGES {
        sample.change_customers(1);
        let request = change(&number.to_string(), u64::from(number), &sample);
        let start = Instant::now();
        commit(&platform, &request).expect("accepted");
        commits += micros(start.elapsed());
        let before = platform.read_bytes();
        read_newest(&platform, None);
        whole_bytes += platform.read_bytes() - before;
        let before = platform.read_bytes();
        held_snapshot = read_newest(&platform, Some(&held_snapshot));
        follow_bytes += platform.read_bytes() - before;
    }
    let written = (platform.written_bytes() - written) / u64::from(CHANGES);
    let writes = ratio(
        platform.platform.counts().writes - counts.writes,
        u64::from(CHANGES),
    );
    println!("written_each_{customers}_customers {written} bytes");
    println!("writes_each_{customers}_customers {writes:.2} count");
    println!(
        "follow_each_{customers}_customers {} bytes",
        follow_bytes / u64::from(CHANGES)
    );
    println!(
        "whole_each_{customers}_customers {} bytes",
        whole_bytes / u64::from(CHANGES)
    );
    println!(
        "commit_{customers}_customers_p50 {} us",
        commits.value_at_quantile(0.5)
    );
    println!(
        "commit_{customers}_customers_p99 {} us",
        commits.value_at_quantile(0.99)
    );
    let per_second = writes * f64::from(CHANGES_PER_DAY) / DAY_SECONDS;
    println!("writes_{customers}_customers_at_12000_a_day {per_second:.3} per_second");
    let too_many = per_second > MAX_STORE_WRITES_PER_S;
    too_many
        .then(|| format!("writes_{customers}"))
        .into_iter()
        .collect()
}

/// Lets operators commit edits of different customers at the same time. Returns the bounds that were missed.
fn measure_race(operators: usize) -> Vec<String> {
    let platform = MeteredPlatform::default();
    let sample = SampleLists::new(1_000, SEED);
    commit(&platform, &change("first", 0, &sample)).expect("first");
    let before = platform.platform.counts();
    let outcomes: Vec<_> = std::thread::scope(|scope| {
        let threads = (0..operators).map(|operator| {
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
    println!("race_{operators}_operators_accepted {accepted} count");
    println!(
        "race_{operators}_operators_told_to_try_again {} count",
        outcomes.len() - accepted
    );
    println!(
        "race_{operators}_operators_reads_each {} count",
        reads / outcomes.len() as u64
    );
    let per_second = ratio(reads, outcomes.len() as u64) * f64::from(CHANGES_PER_DAY) / DAY_SECONDS;
    println!("race_{operators}_operators_reads_at_12000_a_day {per_second:.2} per_second");
    let mut missed_bounds = Vec::new();
    if head.version.0 != accepted as u64 + 1 {
        missed_bounds.push(format!("one_version_each_{operators}"));
    }
    if per_second > MAX_STORE_READS_PER_S {
        missed_bounds.push(format!("reads_{operators}"));
    }
    missed_bounds
}

/// Commits changes that each remove a different customer that no other operator edits.
fn commit_edits(
    platform: &MeteredPlatform,
    operator: usize,
) -> Vec<Result<CommitOutcome, CommitError>> {
    let edits = (0..CHANGES_PER_OPERATOR).map(|number| {
        let head = read_head(platform).expect("read").expect("head");
        let lists = read_lists(platform, head).expect("lists");
        let customer = format!("customer-{:06}", operator * CHANGES_PER_OPERATOR + number);
        let remove = EntryChange::RemoveCustomer(customer.parse().expect("id"));
        let request = Change {
            asked_at_ms: 0,
            base: head.version,
            id: format!("{operator}-{number}").parse().expect("id"),
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
    let number = |count: u64| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    number(count) / number(total)
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
