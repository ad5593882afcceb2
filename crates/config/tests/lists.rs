//! Lists from an operator's YAML text: routing, round trips and deltas.

use std::sync::Arc;

use medlarspool_config::{CredentialHash, Delta, Lists, Route, RouteDecision, Snapshot};
use medlarspool_types::{ConfigHead, ConfigVersion};

const PLANS: &str = "
services:
  - service: sky-map
    timeout_ms: 2000
    max_request_bytes: 1048576
  - service: booking
    timeout_ms: 5000
    max_request_bytes: 4096
plans:
  - plan: observer
    uses: [sky-map]
    weight: 2
";

fn customers(ids: &[&str]) -> String {
    let entry = |id: &&str| {
        let hash = CredentialHash::of(&format!("{id}-secret"));
        format!("  - customer: {id}\n    plan: observer\n    credential_sha256: {hash}\n")
    };
    let entries: String = ids.iter().map(entry).collect();
    format!("customers:\n{entries}")
}

fn snapshot(version: u64, ids: &[&str]) -> Snapshot {
    let lists = Lists::parse(&customers(ids), PLANS).expect("lists");
    let head = ConfigHead {
        version: ConfigVersion(version),
        digest: lists.digest(),
    };
    Snapshot::build(head, Arc::new(lists)).expect("snapshot")
}

#[test]
fn a_snapshot_routes_by_plan() {
    let snapshot = snapshot(1, &["karoo", "sutherland"]);
    let customer = snapshot.authenticate("karoo-secret").expect("customer");
    let id = customer.customer.clone();
    let route = |service: &str| snapshot.route(&id, &service.parse().expect("service"));
    assert!(matches!(
        route("sky-map"),
        RouteDecision::Allowed(Route { weight: 2, .. })
    ));
    assert_eq!(route("booking"), RouteDecision::NotInPlan);
    assert_eq!(route("camera"), RouteDecision::UnknownService);
    assert!(snapshot.authenticate("wrong").is_none());
}

#[test]
fn lists_survive_a_round_trip_through_yaml_and_encoding() {
    let lists = Lists::parse(&customers(&["b", "a"]), PLANS).expect("lists");
    let reread = Lists::parse(&lists.customers_yaml(), &lists.plans_yaml()).expect("own yaml");
    assert_eq!(reread, lists);
    assert_eq!(Lists::decode(&lists.encode()).expect("own encoding"), lists);
}

#[test]
fn a_delta_applies_only_to_its_base() {
    let (one, two) = (snapshot(1, &["a", "b"]), snapshot(2, &["b", "c"]));
    let delta = Delta::between(&one, &two);
    let delta = Delta::decode(&delta.encode()).expect("own encoding");
    let applied = delta.apply(&one).expect("delta applies to its base");
    assert_eq!(applied.lists(), two.lists());
    assert_eq!(applied.head(), two.head());
    delta.apply(&two).expect_err("base of another version");
    delta
        .apply(&snapshot(1, &["a"]))
        .expect_err("base with another digest");
}
