//! Admission is decided by the customer's plan in the newest version that either end of a hop holds.

use std::sync::Arc;

use medlarspool_calls::{Admission, AdmissionRefusal};
use medlarspool_config::{CredentialHash, CustomerEntry, Lists, PlanEntry, ServiceEntry, Snapshot};
use medlarspool_types::{ConfigHead, ConfigVersion};
use rstest::rstest;

fn snapshot(version: u64) -> Snapshot {
    let customer = CustomerEntry {
        credential_sha256: CredentialHash::of("secret"),
        customer: "observer".parse().unwrap(),
        plan: "free".parse().unwrap(),
    };
    let plan = PlanEntry {
        plan: "free".parse().unwrap(),
        uses: vec!["map".parse().unwrap()],
        weight: 3,
    };
    let service = |name: &str| ServiceEntry {
        max_request_bytes: 1_000,
        service: name.parse().unwrap(),
        timeout_ms: std::time::Duration::from_secs(1),
    };
    let services = vec![service("camera"), service("map")];
    let lists = Lists::new(vec![customer], vec![plan], services).unwrap();
    let head = ConfigHead {
        version: ConfigVersion(version),
        digest: lists.digest(),
    };
    Snapshot::build(head, Arc::new(lists)).unwrap()
}

#[rstest]
#[case::allowed("secret", "map", None)]
#[case::not_in_plan("secret", "camera", Some(AdmissionRefusal::NotInPlan))]
#[case::unknown_service("secret", "none", Some(AdmissionRefusal::UnknownService))]
#[case::unknown_credential("guess", "map", Some(AdmissionRefusal::UnknownCredential))]
fn the_plan_decides_at_the_entry(
    #[case] credential: &str,
    #[case] service: &str,
    #[case] expected: Option<AdmissionRefusal>,
) {
    let snapshot = snapshot(5);
    let service = service.parse().unwrap();
    let found = match Admission::at_entry(&snapshot, credential, &service, ConfigVersion::NONE) {
        Admission::Admitted { customer, route } => {
            assert_eq!((customer.as_str(), route.weight), ("observer", 3));
            None
        }
        Admission::FetchFirst(version) => panic!("version {version} is not needed"),
        Admission::Refused(reason) => Some(reason),
    };
    assert_eq!(found, expected);
}

#[rstest]
#[case::older_gate(6, true)]
#[case::same(5, false)]
#[case::newer_gate(4, false)]
fn a_gate_that_is_behind_fetches_first(#[case] admitted_version: u64, #[case] fetches: bool) {
    let snapshot = snapshot(5);
    let (customer, service) = ("observer".parse().unwrap(), "map".parse().unwrap());
    let version = ConfigVersion(admitted_version);
    let decided = Admission::at_gate(&snapshot, &customer, &service, version);
    assert_eq!(decided == Admission::FetchFirst(version), fetches);
    assert_eq!(matches!(decided, Admission::Admitted { .. }), !fetches);
}

#[test]
fn a_newer_gate_refuses_what_its_own_version_does_not_allow() {
    let snapshot = snapshot(5);
    let (customer, service) = ("removed".parse().unwrap(), "map".parse().unwrap());
    let decided = Admission::at_gate(&snapshot, &customer, &service, ConfigVersion(4));
    let refused = Admission::Refused(AdmissionRefusal::UnknownCustomer);
    assert_eq!(decided, refused);
}
