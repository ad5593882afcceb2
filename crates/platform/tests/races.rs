//! Operators commit changes concurrently while the platform fails: no accepted edit is lost, no refused
//! one takes effect, and no change creates two versions.

mod support;

use std::collections::BTreeSet;

use medlarspool_config::{
    CredentialHash, CustomerEntry, EntryChange, Lists, ListsPatch, PlanEntry,
};
use medlarspool_platform::{
    Change, ChangeFate, ChangeRecord, CommitError, CommitOutcome, FakeFaults, FakePlatform,
    Platform, commit, list_versions, read_change, read_head, read_lists, read_version,
};
use medlarspool_types::{ConfigHead, ConfigVersion};
use proptest::{collection::vec, prelude::*, test_runner::RngSeed};
use support::{Fault, Scheduler, Step};

const OPERATOR_COUNT: usize = 3;

/// One edit of one entry.
#[derive(Clone, Copy, Debug)]
enum Edit {
    PutCustomer {
        customer: u8,
        plan: u8,
        credential: u8,
    },
    PutPlan {
        plan: u8,
        weight: u32,
    },
    RemoveCustomer {
        customer: u8,
    },
    RemovePlan {
        plan: u8,
    },
}

impl Edit {
    fn change(self) -> EntryChange {
        let customer_id = |customer| format!("customer-{customer}").parse().expect("id");
        let plan_id = |plan| format!("plan-{plan}").parse().expect("id");
        match self {
            Self::PutCustomer {
                customer,
                plan,
                credential,
            } => EntryChange::PutCustomer(CustomerEntry {
                credential_sha256: CredentialHash::of(&credential.to_string()),
                customer: customer_id(customer),
                plan: plan_id(plan),
            }),
            Self::PutPlan { plan, weight } => EntryChange::PutPlan(PlanEntry {
                plan: plan_id(plan),
                uses: Vec::new(),
                weight,
            }),
            Self::RemoveCustomer { customer } => EntryChange::RemoveCustomer(customer_id(customer)),
            Self::RemovePlan { plan } => EntryChange::RemovePlan(plan_id(plan)),
        }
    }
}

/// A change and the result of the last run of its commit.
struct CommitReport {
    change: Change,
    result: Result<CommitOutcome, CommitError>,
}

fn edit() -> impl Strategy<Value = Edit> {
    prop_oneof![
        4 => (0..4_u8, 0..3_u8, 0..5_u8).prop_map(|(customer, plan, credential)| {
            Edit::PutCustomer { customer, plan, credential }
        }),
        2 => (0..3_u8, 1..4_u32).prop_map(|(plan, weight)| Edit::PutPlan { plan, weight }),
        1 => (0..4_u8).prop_map(|customer| Edit::RemoveCustomer { customer }),
        1 => (0..3_u8).prop_map(|plan| Edit::RemovePlan { plan }),
    ]
}

fn step(no_fault_weight: u32) -> impl Strategy<Value = Step> {
    let fault = prop_oneof![
        no_fault_weight => Just(Fault::None),
        1 => Just(Fault::Down),
        1 => Just(Fault::LostAnswer),
        1 => Just(Fault::LostWrite),
        2 => (1..30_u32).prop_map(|by_calls| Fault::Late { by_calls }),
    ];
    (fault, 0..OPERATOR_COUNT).prop_map(|(fault, operator_choice)| Step {
        fault,
        operator_choice,
    })
}

/// Generates schedules with rare or frequent faults.
fn schedule() -> impl Strategy<Value = Vec<Step>> {
    prop_oneof![vec(step(50), 100..300), vec(step(8), 100..300)]
}

fn read_current(platform: &dyn Platform) -> Option<(ConfigVersion, Lists)> {
    let head = read_head(platform).ok()?.unwrap_or_default();
    if head.version == ConfigVersion::NONE {
        return Some((head.version, Lists::default()));
    }
    Some((head.version, read_lists(platform, head).ok()?))
}

/// Commits changes in sequence, each based on a copy of the lists that may be stale; runs a commit again, up
/// to `max_runs` times, while its outcome is unknown.
fn operate(
    platform: &dyn Platform,
    name: &str,
    changes: &[Vec<Edit>],
    max_runs: usize,
) -> Vec<CommitReport> {
    let mut reports = Vec::new();
    let mut copy = (ConfigVersion::NONE, Lists::default());
    for (index, edits) in changes.iter().enumerate() {
        if index % 2 == 0 {
            copy = read_current(platform).unwrap_or(copy);
        }
        let patch = ListsPatch::new(edits.iter().map(|edit| edit.change()));
        let Ok(lists) = patch.apply(&copy.1) else {
            continue;
        };
        let mut change = Change {
            asked_at_ms: 0,
            base: copy.0,
            id: format!("{name}-{index}").parse().expect("id"),
            lists,
            operator: name.into(),
            sent_before: false,
        };
        let mut result = commit(platform, &change);
        for _ in 1..max_runs {
            if !matches!(result, Err(CommitError::OutcomeUnknown { .. })) {
                break;
            }
            change.sent_before = true;
            result = commit(platform, &change);
        }
        reports.push(CommitReport { change, result });
    }
    reports
}

/// Commits the lists that the race starts with.
fn commit_initial_lists(platform: &FakePlatform) -> CommitReport {
    let plans = (0..3).map(|plan| Edit::PutPlan { plan, weight: 1 });
    let customers = (0..2).map(|customer| Edit::PutCustomer {
        customer,
        plan: customer,
        credential: customer,
    });
    let edits: Vec<Edit> = plans.chain(customers).collect();
    operate(platform, "begin", &[edits], 1).remove(0)
}

/// Runs the operators' commits in one thread each, interleaved and with faults by the schedule, and returns
/// the reports once all late writes have taken effect.
fn race(
    platform: &FakePlatform,
    changes: &[Vec<Vec<Edit>>],
    schedule: Vec<Step>,
    max_runs: usize,
) -> Vec<CommitReport> {
    let scheduler = Scheduler::new(platform, OPERATOR_COUNT, schedule);
    let reports = std::thread::scope(|scope| {
        let threads = changes.iter().enumerate().map(|(operator, changes)| {
            let operator_platform = scheduler.platform_for(operator);
            scope.spawn(move || {
                operate(
                    &operator_platform,
                    &format!("operator-{operator}"),
                    changes,
                    max_runs,
                )
            })
        });
        let threads: Vec<_> = threads.collect();
        let join = |thread: std::thread::ScopedJoinHandle<'_, _>| thread.join().expect("operator");
        threads.into_iter().flat_map(join).collect()
    });
    platform.set_faults(FakeFaults::default());
    // The schedule delays a write by fewer than 30 calls, so after 40 reads no write is left undelivered.
    for _ in 0..40 {
        read_head(platform).expect("late writes take effect");
    }
    reports
}

fn lists_of(platform: &FakePlatform, version: ConfigVersion) -> Lists {
    if version == ConfigVersion::NONE {
        return Lists::default();
    }
    let record = read_version(platform, version)
        .expect("read")
        .expect("version");
    read_lists(platform, record.head).expect("lists")
}

/// Checks that each version is the previous one with the entries of exactly one change applied.
fn check_versions(platform: &FakePlatform, reports: &[CommitReport]) -> Result<(), TestCaseError> {
    let head = read_head(platform).expect("read").unwrap_or_default();
    let mut records: Vec<ChangeRecord> = list_versions(platform, 1000).expect("versions");
    records.reverse();
    let numbers: Vec<u64> = records.iter().map(|record| record.head.version.0).collect();
    prop_assert_eq!(numbers, (1..=head.version.0).collect::<Vec<_>>());
    let ids: BTreeSet<_> = records.iter().map(|record| &record.change).collect();
    prop_assert_eq!(ids.len(), records.len(), "one version for each change");
    let mut before = Lists::default();
    for record in &records {
        let report = reports
            .iter()
            .find(|report| report.change.id == record.change);
        let report = report.expect("the version belongs to a known change");
        let base = lists_of(platform, record.base);
        let patch = ListsPatch::between(&base, &report.change.lists);
        let wanted = &report.change.lists;
        for key in patch.keys() {
            let untouched = before.same_entry(&base, &key) || before.same_entry(wanted, &key);
            prop_assert!(untouched, "version {} overwrote {key}", record.head.version);
        }
        let expected = patch.apply(&before).expect("valid lists");
        let found = read_lists(platform, record.head).expect("lists");
        prop_assert_eq!(&found, &expected);
        before = found;
    }
    Ok(())
}

/// Checks that the result that an operator was given matches the table.
fn check_report(platform: &FakePlatform, report: &CommitReport) -> Result<(), TestCaseError> {
    let fate = read_change(platform, &report.change.id).expect("read");
    match (&report.result, &fate) {
        (Ok(CommitOutcome::Accepted { head, .. }), Some(ChangeFate::Accepted(record))) => {
            prop_assert_eq!(*head, record.head);
        }
        (Ok(CommitOutcome::Unchanged { head }), None | Some(ChangeFate::Withdrawn)) => {
            check_unchanged(platform, report, *head)?;
        }
        (Err(CommitError::OutcomeUnknown { .. }), _) => {}
        (Err(error), None | Some(ChangeFate::Withdrawn)) => check_refusal(platform, report, error)?,
        (result, fate) => prop_assert!(false, "reported {result:?}, recorded {fate:?}"),
    }
    Ok(())
}

/// Checks that the version reported as unchanged contains the change's entries.
fn check_unchanged(
    platform: &FakePlatform,
    report: &CommitReport,
    head: ConfigHead,
) -> Result<(), TestCaseError> {
    let base = lists_of(platform, report.change.base);
    let current = lists_of(platform, head.version);
    for key in ListsPatch::between(&base, &report.change.lists).keys() {
        prop_assert!(current.same_entry(&report.change.lists, &key), "{key}");
    }
    Ok(())
}

/// Checks that a conflict names a version after the base that did change the entry.
fn check_refusal(
    platform: &FakePlatform,
    report: &CommitReport,
    error: &CommitError,
) -> Result<(), TestCaseError> {
    let (key, winner) = match error {
        CommitError::SemanticConflict { other, winner, .. } => (other, winner),
        CommitError::Conflict { key, winner, .. } => (key, winner),
        CommitError::Platform(_) | CommitError::TooManyAttempts { .. } => return Ok(()),
        other => {
            prop_assert!(false, "unexpected {other:?}");
            return Ok(());
        }
    };
    prop_assert!(*winner > report.change.base);
    let after = lists_of(platform, *winner);
    let before = lists_of(platform, ConfigVersion(winner.0 - 1));
    prop_assert!(!after.same_entry(&before, key), "{error}");
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 192,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(3),
        ..ProptestConfig::default()
    })]

    #[test]
    fn racing_operators_lose_nothing_silently(
        changes in vec(vec(vec(edit(), 1..4), 1..6), OPERATOR_COUNT),
        schedule in schedule(),
        runs in 1..4_usize,
    ) {
        let platform = FakePlatform::default();
        let initial = commit_initial_lists(&platform);
        let mut reports = race(&platform, &changes, schedule, runs);
        reports.push(initial);
        check_versions(&platform, &reports)?;
        for report in &reports {
            check_report(&platform, report)?;
        }
    }
}
