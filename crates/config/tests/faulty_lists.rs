//! Faulty lists are refused with errors that name the file, and the line, field and value where there is one.

use medlarspool_config::{CredentialHash, ListFile, ListFiles, limits};
use rstest::rstest;

const HASH: &str = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b";
const PLANS: &str = "\
services:
  - {service: sky-map, timeout_ms: 2000, max_request_bytes: 1024}
plans:
  - {plan: observer, uses: [sky-map], weight: 1}
";

/// Parses faulty lists and returns the text of the error.
fn parse_error(customers: &str, plans: &str) -> String {
    let files = ListFiles {
        customers: ListFile {
            name: "our-customers.yaml",
            yaml: customers,
        },
        plans: ListFile {
            name: "our-plans.yaml",
            yaml: plans,
        },
    };
    match files.parse() {
        Ok(parsed) => panic!("faulty lists were accepted: {parsed:?}"),
        Err(error) => error.to_string(),
    }
}

fn customer(id: &str, plan: &str, credential: &str) -> String {
    let hash = CredentialHash::of(credential);
    format!("  - customer: {id}\n    plan: {plan}\n    credential_sha256: {hash}\n")
}

#[rstest]
#[case::hash(
    "customers:\n  - {customer: a, plan: observer, credential_sha256: 0AF}\n",
    "line 2: field `credential_sha256`: `0AF` is not a SHA-256 hash of 64 lower-case hexadecimal digits"
)]
#[case::id(
    &format!("customers:\n  - {{customer: Karoo, plan: observer, credential_sha256: {HASH}}}\n"),
    "line 2: field `customer`: `Karoo` has a character other than a-z, 0-9, `-`, `_` and `.`"
)]
#[case::missing_field(
    "customers:\n  - customer: a\n    plan: observer\n",
    "line 3: `plan: observer`: missing field `credential_sha256`"
)]
#[case::misspelt_field(
    "customers:\n  - customer: a\n    plann: observer\n",
    "line 3: `plann: observer`: unknown field `plann`, expected one of credential_sha256, customer, plan"
)]
#[case::no_text("", "line 1: ``: unexpected end of input")]
#[case::null_value(
    "customers:\n  - customer: a\n    plan:\n",
    "line 3: `plan:`: cannot deserialize null into string; use Option<String>"
)]
#[case::broken_yaml(
    "customers: []\n  - customer: a\n",
    "line 2: `- customer: a`: while parsing a block mapping, did not find expected key"
)]
#[case::base_version(
    "base_version: new\ncustomers: []\n",
    "line 1: field `base_version`: `new` is not a whole number from 0 to 18446744073709551615"
)]
fn a_faulty_customers_list_is_refused(#[case] customers: &str, #[case] expected: &str) {
    let expected = format!("our-customers.yaml: {expected}");
    assert_eq!(parse_error(customers, PLANS), expected);
}

#[rstest]
#[case::customer_twice(
    customer("a", "observer", "x") + &customer("a", "observer", "y"),
    "line 5: field `customer`: `a` is listed already in line 2"
)]
#[case::unknown_plan(
    customer("a", "observers", "x"),
    "line 2: field `plan`: `observers` is no plan listed in our-plans.yaml"
)]
fn a_customer_that_conflicts_with_other_entries_is_refused(
    #[case] entries: String,
    #[case] expected: &str,
) {
    let customers = format!("customers:\n{entries}");
    let expected = format!("our-customers.yaml: {expected}");
    assert_eq!(parse_error(&customers, PLANS), expected);
}

#[test]
fn a_credential_of_two_customers_is_refused() {
    let (one, other) = (
        customer("a", "observer", "x"),
        customer("b", "observer", "x"),
    );
    let hash = CredentialHash::of("x");
    let expected = format!(
        "our-customers.yaml: line 5: field `credential_sha256`: `{hash}` is listed already in line 2"
    );
    assert_eq!(
        parse_error(&format!("customers:\n{one}{other}"), PLANS),
        expected
    );
}

#[rstest]
#[case::service_twice(
    "  - {service: sky-map, timeout_ms: 1, max_request_bytes: 1}\n",
    "",
    "line 3: field `service`: `sky-map` is listed already in line 2"
)]
#[case::timeout_in_seconds(
    "  - {service: booking, timeout_s: 2, max_request_bytes: 1}\n",
    "",
    "line 3: `- {service: booking, timeout_s: 2, max_request_bytes: 1}`: unknown field `timeout_s`, expected one of max_request_bytes, service, timeout_ms"
)]
#[case::timeout_with_unit(
    "  - {service: booking, timeout_ms: 2s, max_request_bytes: 1}\n",
    "",
    "line 3: field `timeout_ms`: `2s` is not a whole number from 1 to 600000"
)]
#[case::negative_weight(
    "",
    "  - {plan: guest, uses: [], weight: -1}\n",
    "line 5: field `weight`: `-1` is not a whole number from 1 to 1000"
)]
#[case::plan_twice(
    "",
    "  - {plan: observer, uses: [], weight: 1}\n",
    "line 5: field `plan`: `observer` is listed already in line 4"
)]
#[case::unknown_service(
    "",
    "  - {plan: guest, uses: [sky-maps], weight: 1}\n",
    "line 5: field `uses`: `sky-maps` is no service listed in our-plans.yaml"
)]
#[case::service_used_twice(
    "",
    "  - {plan: guest, uses: [sky-map, sky-map], weight: 1}\n",
    "line 5: field `uses`: `sky-map` is listed already in line 5"
)]
fn a_faulty_plans_list_is_refused(
    #[case] service: &str,
    #[case] plan: &str,
    #[case] expected: &str,
) {
    let plans = PLANS.replace("plans:\n", &format!("{service}plans:\n")) + plan;
    let expected = format!("our-plans.yaml: {expected}");
    assert_eq!(parse_error("customers: []", &plans), expected);
}

#[test]
fn lists_that_are_copies_of_different_versions_are_refused() {
    let plans = format!("base_version: 4\n{PLANS}");
    assert_eq!(
        parse_error("base_version: 3\ncustomers: []", &plans),
        "our-plans.yaml: line 1: field `base_version`: `4` differs from `3` in our-customers.yaml"
    );
}

#[test]
fn one_broken_entry_of_100_000_is_named() {
    let plan = |id: usize| {
        if id == 77_777 {
            "observer!"
        } else {
            "observer"
        }
    };
    let entries = (0..100_000).map(|id| customer(&id.to_string(), plan(id), &id.to_string()));
    let customers: String = std::iter::once("customers:\n".to_owned())
        .chain(entries)
        .collect();
    assert_eq!(
        parse_error(&customers, PLANS),
        "our-customers.yaml: line 233334: field `plan`: `observer!` has a character other than \
         a-z, 0-9, `-`, `_` and `.`"
    );
}

#[test]
fn oversized_lists_are_refused() {
    let long = "#".repeat(limits::MAX_YAML_BYTES + 1);
    assert_eq!(
        parse_error(&long, PLANS),
        "`our-customers.yaml, bytes` is `67108865` but must be from `0` to `67108864`"
    );
    let entry = |id: usize| format!("  - {{plan: p{id}, uses: [], weight: 1}}\n");
    let plans: String = (0..limits::MAX_PLANS).map(entry).collect();
    assert_eq!(
        parse_error("customers: []", &format!("{PLANS}{plans}")),
        "`plans` is `10001` but must be from `0` to `10000`"
    );
}

#[test]
fn nesting_is_bounded() {
    let nested = "[".repeat(100_000);
    assert!(parse_error(&nested, PLANS).starts_with("our-customers.yaml: line "));
}
