//! The outcome of a change, with and without faults of the platform.

use medlarspool_config::{CredentialHash, EntryChange, Lists, ListsPatch, Snapshot};
use medlarspool_platform::{
    Change, ChangeFate, CommitError, CommitOutcome, FakeFaults, FakePlatform, Platform,
    PlatformError, Row, RowWrite, commit, list_versions, read_change, read_head, read_lists,
    read_snapshot, withdraw,
};
use medlarspool_types::ConfigVersion;
use rstest::rstest;

/// The number of later calls after which a transaction through [`DownAfterTransaction`] takes effect.
const LATE_BY_CALLS: u32 = 10;
const PLANS: &str = "
services: [{service: sky-map, timeout_ms: 2000, max_request_bytes: 1024}]
plans: [{plan: observer, uses: [sky-map], weight: 1}, {plan: guest, uses: [], weight: 1}]
";

fn change(id: &str, base: u64, customers: &[(&str, &str)]) -> Change {
    let entry = |(id, plan): &(&str, &str)| {
        let hash = CredentialHash::of(id);
        format!("{{customer: {id}, plan: {plan}, credential_sha256: {hash}}},")
    };
    let entries: String = customers.iter().map(entry).collect();
    let yaml = format!("customers: [{entries}]");
    Change {
        asked_at_ms: 0,
        base: ConfigVersion(base),
        id: id.parse().expect("id"),
        lists: Lists::parse(&yaml, PLANS).expect("lists"),
        operator: "operator".into(),
        sent_before: false,
    }
}

fn version(outcome: &Result<CommitOutcome, CommitError>) -> u64 {
    match outcome {
        Ok(CommitOutcome::Accepted { head, .. }) => head.version.0,
        other => panic!("not accepted: {other:?}"),
    }
}

/// A platform whose transactions take effect late, and which goes down right after the first one.
struct DownAfterTransaction<'platform>(&'platform FakePlatform);

impl Platform for DownAfterTransaction<'_> {
    fn get_object(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        self.0.get_object(name)
    }

    fn put_object(&self, name: &str, content: &[u8]) -> Result<(), PlatformError> {
        self.0.put_object(name, content)
    }

    fn get_row(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        self.0.get_row(key)
    }

    fn list_rows(&self, prefix: &str, limit: usize) -> Result<Vec<Row>, PlatformError> {
        self.0.list_rows(prefix, limit)
    }

    fn transact(&self, writes: &[RowWrite]) -> Result<(), PlatformError> {
        self.0.set_faults(FakeFaults {
            late_by_calls: LATE_BY_CALLS,
            late_writes: 1,
            ..FakeFaults::default()
        });
        let result = self.0.transact(writes);
        self.0.set_faults(FakeFaults {
            down: true,
            ..FakeFaults::default()
        });
        result
    }
}

#[test]
fn disjoint_edits_are_rebased() {
    let platform = FakePlatform::default();
    let both = [("a", "guest"), ("b", "guest")];
    assert_eq!(version(&commit(&platform, &change("1", 0, &both))), 1);
    let first = change("2", 1, &[("a", "observer"), ("b", "guest")]);
    assert_eq!(version(&commit(&platform, &first)), 2);
    let second = change("3", 1, &[("a", "guest"), ("b", "observer")]);
    assert_eq!(version(&commit(&platform, &second)), 3);
    let head = read_head(&platform).expect("read").expect("head");
    let lists = read_lists(&platform, head).expect("lists");
    assert!(lists.customers().all(|e| e.plan.as_str() == "observer"));
}

#[test]
fn an_overlapping_edit_is_refused_with_the_entry_and_the_winning_version() {
    let platform = FakePlatform::default();
    commit(&platform, &change("1", 0, &[("a", "guest")])).expect("first");
    commit(&platform, &change("2", 1, &[("a", "observer")])).expect("second");
    let refused = commit(&platform, &change("3", 1, &[]));
    let text = refused.expect_err("overlap").to_string();
    assert_eq!(
        text,
        "not accepted: customer `a` was changed by version `2` since version `1`"
    );
}

#[test]
fn of_several_winning_versions_the_newest_is_named() {
    let platform = FakePlatform::default();
    commit(&platform, &change("1", 0, &[("a", "guest")])).expect("first");
    commit(&platform, &change("2", 1, &[("a", "observer")])).expect("second");
    commit(&platform, &change("3", 2, &[])).expect("third");
    let refused = commit(
        &platform,
        &change("lost", 1, &[("a", "observer"), ("b", "guest")]),
    );
    assert!(matches!(refused, Err(CommitError::Conflict { winner, .. }) if winner.0 == 3));
}

#[test]
fn the_winning_version_is_found_without_reading_the_lists_again() {
    let platform = FakePlatform::default();
    commit(&platform, &change("1", 0, &[("a", "guest")])).expect("first");
    commit(&platform, &change("2", 1, &[("a", "observer")])).expect("second");
    for version in 3..=50 {
        let id = version.to_string();
        let requested = change(&id, version - 1, &[("a", "observer"), (&id, "guest")]);
        commit(&platform, &requested).expect("accepted");
    }
    let before = platform.counts().reads;
    let refused = commit(&platform, &change("lost", 1, &[]));
    assert!(matches!(refused, Err(CommitError::Conflict { winner, .. }) if winner.0 == 2));
    let reads = platform.counts().reads - before;
    assert_eq!(reads, 8, "base 2, head, change, newest 3, rows 1");
}

#[test]
fn a_semantic_conflict_names_both_entries() {
    let platform = FakePlatform::default();
    commit(&platform, &change("1", 0, &[])).expect("first");
    commit(&platform, &change("2", 1, &[("a", "guest")])).expect("second");
    let mut removal = change("3", 1, &[]);
    let remove = EntryChange::RemovePlan("guest".parse().expect("id"));
    removal.lists = ListsPatch::new([remove])
        .apply(&removal.lists)
        .expect("lists");
    let text = commit(&platform, &removal)
        .expect_err("conflict")
        .to_string();
    assert_eq!(
        text,
        "not accepted: plan `guest` lost to version `2`, which changed customer `a`: \
         customer `a` names plan `guest`, which is not listed"
    );
}

#[test]
fn restoring_old_lists_makes_a_new_version() {
    let platform = FakePlatform::default();
    commit(&platform, &change("1", 0, &[("a", "guest")])).expect("first");
    commit(&platform, &change("2", 1, &[("a", "observer")])).expect("second");
    let restored = commit(&platform, &change("3", 2, &[("a", "guest")]));
    assert_eq!(version(&restored), 3);
    let digests: Vec<_> = list_versions(&platform, 10)
        .expect("versions")
        .iter()
        .map(|record| record.head.digest)
        .collect();
    assert_eq!(digests[0], digests[2]);
}

#[rstest]
#[case::answer(FakeFaults { lost_answers: 2, ..FakeFaults::default() })]
#[case::late(FakeFaults { late_by_calls: 3, late_writes: 2, ..FakeFaults::default() })]
#[case::request(FakeFaults { lost_writes: 2, ..FakeFaults::default() })]
fn a_change_is_committed_despite_lost_or_late_messages(#[case] faults: FakeFaults) {
    let platform = FakePlatform::default();
    commit(&platform, &change("1", 0, &[("a", "guest")])).expect("first");
    platform.set_faults(faults);
    let requested = change("2", 1, &[("a", "observer")]);
    assert_eq!(version(&commit(&platform, &requested)), 2);
    let fate = read_change(&platform, &requested.id).expect("read");
    assert!(matches!(fate, Some(ChangeFate::Accepted(record)) if record.head.version.0 == 2));
}

/// Commits a change whose transaction takes effect late, on a platform that goes down right after it.
fn commit_late(platform: &FakePlatform, requested: &Change) -> Result<CommitOutcome, CommitError> {
    commit(platform, &change("1", 0, &[("a", "guest")])).expect("first");
    let failing = DownAfterTransaction(platform);
    commit(&failing, requested)
}

#[test]
fn a_platform_that_goes_down_after_the_transaction_leaves_the_outcome_unknown() {
    let platform = FakePlatform::default();
    let mut requested = change("2", 1, &[("a", "observer")]);
    let text = commit_late(&platform, &requested)
        .expect_err("no answer")
        .to_string();
    assert_eq!(
        text,
        "outcome not known (the outcome of the write is not known: the request is late); \
         run `medlarspool history --change 2`"
    );
    requested.sent_before = true;
    let again = commit(&platform, &requested);
    assert!(
        matches!(again, Err(CommitError::OutcomeUnknown { .. })),
        "still down"
    );
    platform.set_faults(FakeFaults::default());
    assert_eq!(version(&commit(&platform, &requested)), 2);
}

#[test]
fn a_withdrawn_change_never_takes_effect() {
    let platform = FakePlatform::default();
    let requested = change("2", 1, &[("a", "observer")]);
    commit_late(&platform, &requested).expect_err("no answer");
    platform.set_faults(FakeFaults::default());
    assert_eq!(read_change(&platform, &requested.id), Ok(None));
    assert_eq!(
        withdraw(&platform, &requested.id),
        Ok(ChangeFate::Withdrawn)
    );
    for _ in 0..LATE_BY_CALLS {
        read_head(&platform).expect("the late transaction arrives");
    }
    let head = read_head(&platform).expect("read").expect("head");
    assert_eq!(head.version, ConfigVersion(1));
    let again = commit(&platform, &requested);
    assert_eq!(again, Err(CommitError::Withdrawn(requested.id)));
}

#[test]
fn withdrawing_an_accepted_change_reports_its_version() {
    let platform = FakePlatform::default();
    commit(&platform, &change("1", 0, &[])).expect("first");
    let fate = withdraw(&platform, &"1".parse().expect("id"));
    assert!(matches!(fate, Ok(ChangeFate::Accepted(_))));
}

#[test]
fn a_platform_that_is_down_accepts_nothing() {
    let platform = FakePlatform::default();
    platform.set_faults(FakeFaults {
        down: true,
        ..FakeFaults::default()
    });
    let refused = commit(&platform, &change("1", 0, &[]));
    let text = refused.expect_err("down").to_string();
    let expected = "not accepted: the platform is not available; nothing was written: ";
    assert!(text.starts_with(expected), "{text}");
}

#[test]
fn no_version_is_based_on_a_damaged_object() {
    let platform = FakePlatform::default();
    let first = commit(&platform, &change("1", 0, &[("a", "guest")]));
    let Ok(CommitOutcome::Accepted { head, .. }) = first else {
        panic!("{first:?}");
    };
    let name = format!("lists/{}", head.digest);
    let content = change("x", 0, &[("b", "guest")]).lists.encode();
    platform
        .put_object(&name, &content)
        .expect("put the wrong lists");
    let refused = commit(&platform, &change("2", 1, &[]));
    assert!(matches!(
        refused,
        Err(CommitError::Platform(PlatformError::Malformed(_)))
    ));
}

#[test]
fn versions_are_read_from_checkpoints_and_patches() {
    let platform = FakePlatform::default();
    let plan = |version: u64| {
        if version.is_multiple_of(2) {
            "guest"
        } else {
            "observer"
        }
    };
    let mut snapshots: Vec<Snapshot> = Vec::new();
    for version in 1..=230 {
        let id = version.to_string();
        let requested = change(&id, version - 1, &[("a", plan(version)), (&id, "guest")]);
        commit(&platform, &requested).expect("accepted");
        let head = read_head(&platform).expect("read").expect("head");
        let whole = read_snapshot(&platform, None, head).expect("whole");
        assert_eq!(whole.lists().digest(), requested.lists.digest());
        let before = platform.counts();
        let last = snapshots.last();
        let advanced = read_snapshot(&platform, last, head).expect("advanced");
        assert_eq!(advanced.lists(), whole.lists());
        if version > 1 {
            assert_eq!(
                platform.counts().reads - before.reads,
                1,
                "version {version}"
            );
        }
        snapshots.push(whole);
    }
    let head = snapshots[229].head();
    let far = read_snapshot(&platform, Some(&snapshots[3]), head).expect("far behind");
    assert_eq!(far.lists(), snapshots[229].lists());
    let old = snapshots[149].head();
    assert_eq!(
        &read_lists(&platform, old).expect("old"),
        &**snapshots[149].lists()
    );
    let objects = snapshots.iter().filter(|snapshot| {
        let name = format!("lists/{}", snapshot.head().digest);
        platform.get_object(&name).expect("read").is_some()
    });
    assert_eq!(objects.count(), 3, "versions 1, 102 and 203");
}

#[test]
fn a_large_change_is_a_checkpoint() {
    let platform = FakePlatform::default();
    commit(&platform, &change("1", 0, &[])).expect("first");
    let ids: Vec<String> = (0..200).map(|id| id.to_string()).collect();
    let customers: Vec<_> = ids.iter().map(|id| (id.as_str(), "guest")).collect();
    let large = change("2", 1, &customers);
    commit(&platform, &large).expect("large");
    let small = change("3", 2, &customers[1..]);
    commit(&platform, &small).expect("small");
    let head = read_head(&platform).expect("read").expect("head");
    assert_eq!(read_lists(&platform, head).expect("lists"), small.lists);
    let name = format!("lists/{}", large.lists.digest());
    assert!(platform.get_object(&name).expect("read").is_some());
}

#[test]
fn an_uncontended_change_takes_at_most_5_reads_and_one_write() {
    let platform = FakePlatform::default();
    commit(&platform, &change("1", 0, &[("a", "guest")])).expect("first");
    let before = platform.counts();
    commit(&platform, &change("2", 1, &[("a", "observer")])).expect("second");
    let after = platform.counts();
    let reads = after.reads - before.reads;
    assert_eq!(reads, 4, "version, checkpoint, head, change");
    assert_eq!(after.writes - before.writes, 1, "transaction");
    commit(&platform, &change("3", 2, &[])).expect("third");
    let last = platform.counts();
    let reads = last.reads - after.reads;
    assert_eq!(reads, 5, "also the patches since the checkpoint");
    assert_eq!(last.writes - after.writes, 1, "transaction");
}
