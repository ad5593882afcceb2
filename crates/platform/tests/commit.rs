//! What becomes of a change, with and without faults of the platform.

use medlarspool_config::{CredentialHash, Lists};
use medlarspool_platform::{
    Change, CommitError, CommitOutcome, FakeFaults, FakePlatform, commit, read_change, read_head,
    read_lists,
};
use medlarspool_types::ConfigVersion;

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
    }
}

fn version(outcome: &Result<CommitOutcome, CommitError>) -> u64 {
    match outcome {
        Ok(CommitOutcome::Accepted { head, .. }) => head.version.0,
        other => panic!("not accepted: {other:?}"),
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
    assert!(
        lists
            .customers()
            .iter()
            .all(|e| e.plan.as_str() == "observer")
    );
}

#[test]
fn an_overlapping_edit_is_told_the_entry_and_the_winner() {
    let platform = FakePlatform::default();
    commit(&platform, &change("1", 0, &[("a", "guest")])).expect("first");
    commit(&platform, &change("2", 1, &[("a", "observer")])).expect("second");
    let lost = commit(&platform, &change("3", 1, &[]));
    let text = lost.expect_err("overlap").to_string();
    assert_eq!(
        text,
        "not accepted: customer `a` was changed by version `2` since version `1`"
    );
}

#[test]
fn a_lost_answer_is_settled() {
    let platform = FakePlatform::default();
    commit(&platform, &change("1", 0, &[("a", "guest")])).expect("first");
    for (id, faults) in [
        (
            "2",
            FakeFaults {
                lost_answers: 2,
                ..FakeFaults::default()
            },
        ),
        (
            "3",
            FakeFaults {
                lost_writes: 2,
                ..FakeFaults::default()
            },
        ),
        (
            "4",
            FakeFaults {
                late_writes: 2,
                ..FakeFaults::default()
            },
        ),
    ] {
        let before = read_head(&platform).expect("read").expect("head").version;
        platform.set_faults(faults);
        let plan = if id == "3" { "guest" } else { "observer" };
        let asked = change(id, before.0, &[("a", plan)]);
        let outcome = commit(&platform, &asked).or_else(|_| commit(&platform, &asked));
        assert_eq!(version(&outcome), before.0 + 1);
        let record = read_change(&platform, &asked.id)
            .expect("read")
            .expect("record");
        assert_eq!(record.head.version, before.next());
    }
}

#[test]
fn a_platform_that_is_down_accepts_nothing() {
    let platform = FakePlatform::default();
    platform.set_faults(FakeFaults {
        down: true,
        ..FakeFaults::default()
    });
    let refused = commit(&platform, &change("1", 0, &[]));
    assert!(matches!(refused, Err(CommitError::Platform(_))));
}
