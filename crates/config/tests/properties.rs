//! Patched lists share pages with their base and equal lists that are rebuilt from their entries; no decoder
//! panics on any input.

use std::{collections::BTreeMap, sync::Arc};

use medlarspool_config::{
    ConfigError, CredentialHash, CustomerEntry, Delta, EntryChange, EntryKey, Lists, ListsPatch,
    PlanEntry, Snapshot,
};
use medlarspool_types::{ConfigHead, ConfigVersion};
use proptest::{collection::vec, prelude::*, sample::Index, test_runner::RngSeed};

fn config() -> ProptestConfig {
    ProptestConfig {
        cases: 256,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::default()
    }
}

fn customer(customer: u8, plan: u8, credential: u8) -> CustomerEntry {
    CustomerEntry {
        credential_sha256: CredentialHash::of(&credential.to_string()),
        customer: format!("customer-{customer}").parse().expect("id"),
        plan: format!("plan-{plan}").parse().expect("id"),
    }
}

fn plan(plan: u8, weight: u32) -> PlanEntry {
    PlanEntry {
        plan: format!("plan-{plan}").parse().expect("id"),
        uses: Vec::new(),
        weight,
    }
}

fn change() -> impl Strategy<Value = EntryChange> {
    prop_oneof![
        8 => (0..40_u8, 0..4_u8, 0..60_u8)
            .prop_map(|(id, plan, secret)| EntryChange::PutCustomer(customer(id, plan, secret))),
        2 => (0..40_u8)
            .prop_map(|id| EntryChange::RemoveCustomer(customer(id, 0, 0).customer)),
        1 => (0..4_u8, 1..9_u32)
            .prop_map(|(id, weight)| EntryChange::PutPlan(plan(id, weight))),
        1 => (0..4_u8).prop_map(|id| EntryChange::RemovePlan(plan(id, 1).plan)),
    ]
}

fn patches() -> impl Strategy<Value = Vec<Vec<EntryChange>>> {
    vec(vec(change(), 1..6), 1..20)
}

fn initial_lists() -> Lists {
    let plans = (0..4).map(|id| plan(id, 1)).collect();
    Lists::new(Vec::new(), plans, Vec::new()).expect("lists")
}

/// Applies a patch by rebuilding the lists from all entries.
fn rebuild(lists: &Lists, patch: &ListsPatch) -> Result<Lists, ConfigError> {
    let by_id = |entry: &CustomerEntry| (entry.customer.clone(), entry.clone());
    let mut customers: BTreeMap<_, _> = lists.customers().map(by_id).collect();
    let by_id = |entry: &PlanEntry| (entry.plan.clone(), entry.clone());
    let mut plans: BTreeMap<_, _> = lists.plans().iter().map(by_id).collect();
    for change in patch.changes() {
        match (change.key(), change) {
            (EntryKey::Customer(id), EntryChange::PutCustomer(entry)) => {
                customers.insert(id, entry.clone());
            }
            (EntryKey::Customer(id), _) => {
                customers.remove(&id);
            }
            (EntryKey::Plan(id), EntryChange::PutPlan(entry)) => {
                plans.insert(id, entry.clone());
            }
            (EntryKey::Plan(id), _) => {
                plans.remove(&id);
            }
            (EntryKey::Service(_), _) => {}
        }
    }
    let (customers, plans) = (customers.into_values(), plans.into_values());
    Lists::new(customers.collect(), plans.collect(), Vec::new())
}

fn snapshot(version: u64, lists: &Lists) -> Snapshot {
    let head = ConfigHead {
        version: ConfigVersion(version),
        digest: lists.digest(),
    };
    Snapshot::build(head, Arc::new(lists.clone())).expect("snapshot")
}

fn sample_lists() -> Lists {
    let customers = (0..40).map(|id| customer(id, id % 4, id)).collect();
    let plans = (0..4).map(|id| plan(id, 1)).collect();
    Lists::new(customers, plans, Vec::new()).expect("lists")
}

/// Overwrites some bytes and truncates the rest to a random length.
fn damage(mut bytes: Vec<u8>, overwrites: &[(Index, u8)], kept_length: Index) -> Vec<u8> {
    for (position, byte) in overwrites {
        let index = position.index(bytes.len());
        bytes[index] = *byte;
    }
    let kept_length = kept_length.index(bytes.len() + 1);
    bytes.truncate(kept_length);
    bytes
}

#[test]
fn a_small_change_copies_one_page_of_many() {
    let entry = |id: u32| CustomerEntry {
        customer: format!("customer-{id}").parse().expect("id"),
        ..customer(0, 0, 0)
    };
    let customers = (0..10_000).map(|id| CustomerEntry {
        credential_sha256: CredentialHash::of(&id.to_string()),
        ..entry(id)
    });
    let lists = Lists::new(customers.collect(), vec![plan(0, 1)], Vec::new()).expect("lists");
    let patch = ListsPatch::new([EntryChange::RemoveCustomer(entry(5000).customer)]);
    let patched = patch.apply(&lists).expect("removal of a customer");
    assert_eq!(patched.shared_pages(&lists), Lists::PAGES - 1);
}

#[test]
fn two_customers_can_exchange_their_credentials() {
    let lists = sample_lists();
    let exchange = [(1, 2), (2, 1)].map(|(id, secret)| customer(id, 0, secret));
    let patch = ListsPatch::new(exchange.map(EntryChange::PutCustomer));
    let patched = patch.apply(&lists).expect("exchange of credentials");
    let owner = patched
        .customer_by_credential(&CredentialHash::of("1"))
        .expect("owner");
    assert_eq!(owner.customer.as_str(), "customer-2");
}

#[test]
fn a_credential_of_another_customer_is_refused() {
    let patch = ListsPatch::new([EntryChange::PutCustomer(customer(1, 0, 2))]);
    let refused = patch
        .apply(&sample_lists())
        .expect_err("two customers with one credential");
    let expected = "customers `customer-1` and `customer-2` have the same `credential_sha256`";
    assert_eq!(refused.to_string(), expected);
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn patched_lists_equal_rebuilt_lists(patches in patches()) {
        let mut lists = initial_lists();
        for changes in patches {
            let patch = ListsPatch::new(changes);
            let patched = patch.apply(&lists);
            let rebuilt = rebuild(&lists, &patch);
            prop_assert_eq!(patched.is_ok(), rebuilt.is_ok(), "{:?} {:?}", patched, rebuilt);
            let (Ok(patched), Ok(rebuilt)) = (patched, rebuilt) else {
                continue;
            };
            prop_assert_eq!(&patched, &rebuilt);
            prop_assert_eq!(patched.cached_digest(), rebuilt.digest());
            prop_assert_eq!(patched.digest(), rebuilt.digest());
            prop_assert_eq!(patched.customers().len(), patched.customers().count());
            for entry in patched.customers() {
                prop_assert_eq!(patched.customer_by_credential(&entry.credential_sha256), Some(entry));
            }
            lists = patched;
        }
    }

    #[test]
    fn a_delta_leads_from_one_version_to_another(base in patches(), next in patches()) {
        let apply_all = |patches: Vec<Vec<EntryChange>>| {
            patches.into_iter().fold(initial_lists(), |lists, changes| {
                ListsPatch::new(changes).apply(&lists).unwrap_or(lists)
            })
        };
        let (base, next) = (snapshot(1, &apply_all(base)), snapshot(2, &apply_all(next)));
        let delta = Delta::between(&base, &next);
        let delta = Delta::decode(&delta.encode()).expect("own encoding");
        let applied = delta.apply(&base).expect("delta applies to its base");
        prop_assert_eq!(applied.lists(), next.lists());
        let no_change = Delta::between(&applied, &next);
        prop_assert!(no_change.patch().changes().is_empty());
    }

    #[test]
    fn damaged_lists_are_refused_or_read_whole(
        overwrites in vec((any::<Index>(), any::<u8>()), 0..4),
        kept_length in any::<Index>(),
    ) {
        let encoded = damage(sample_lists().encode(), &overwrites, kept_length);
        if let Ok(lists) = Lists::decode(&encoded) {
            prop_assert_eq!(Lists::decode(&lists.encode()), Ok(lists));
        }
    }

    #[test]
    fn a_damaged_delta_is_refused_or_leads_to_its_version(
        overwrites in vec((any::<Index>(), any::<u8>()), 0..4),
        kept_length in any::<Index>(),
    ) {
        let (base, next) = (snapshot(1, &initial_lists()), snapshot(2, &sample_lists()));
        let encoded = damage(Delta::between(&base, &next).encode(), &overwrites, kept_length);
        if let Ok(delta) = Delta::decode(&encoded)
            && let Ok(applied) = delta.apply(&base)
        {
            prop_assert_eq!(applied.lists().digest(), applied.head().digest);
        }
    }

    #[test]
    fn no_bytes_make_a_decoder_panic(bytes in vec(any::<u8>(), 0..300)) {
        let _ = Lists::decode(&bytes);
        let _ = Delta::decode(&bytes);
        let text = String::from_utf8_lossy(&bytes);
        let _ = Lists::parse(&text, &text);
    }

    #[test]
    fn damaged_yaml_is_refused_or_read_whole(
        overwrites in vec((any::<Index>(), 9..127_u8), 0..4),
        kept_length in any::<Index>(),
    ) {
        let lists = sample_lists();
        let yaml = damage(lists.customers_yaml().into_bytes(), &overwrites, kept_length);
        let yaml = String::from_utf8(yaml).expect("ASCII");
        if let Ok(read) = Lists::parse(&yaml, &lists.plans_yaml()) {
            let reread = Lists::parse(&read.customers_yaml(), &read.plans_yaml());
            prop_assert_eq!(reread, Ok(read));
        }
    }
}
