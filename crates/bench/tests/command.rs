//! Tests the operators' command with the stand-in platform and a stand-in daemon.

mod support;

use medlarspool::{CommandError, Console};
use medlarspool_bench::StandInPlatform;
use medlarspool_platform::{FakeFaults, FakePlatform};
use medlarspool_types::ManualClock;
use rstest::rstest;
use support::StandInDaemon;
use tempfile::TempDir;

const TOKEN: &str = "platform-token";
const CUSTOMERS: &str = "# ours
customers:
  - customer: karoo
    plan: observer
    credential_sha256: 2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b
";
const PLANS: &str = "\
services:
  - {service: booking, timeout_ms: 5000, max_request_bytes: 4096}
  - {service: sky-map, timeout_ms: 2000, max_request_bytes: 1024}
plans:
  - {plan: guest, uses: [], weight: 1}
  - {plan: observer, uses: [sky-map], weight: 2}
";

/// An operator with a customers file, a plans file and a platform.
struct Operator {
    clock: ManualClock,
    directory: TempDir,
    platform: FakePlatform,
    server: StandInPlatform,
}

impl Operator {
    fn new() -> Self {
        let platform = FakePlatform::default();
        let listen = "127.0.0.1:0".parse().expect("address");
        let operator = Self {
            clock: ManualClock::default(),
            directory: TempDir::new().expect("directory"),
            server: StandInPlatform::start(&platform, listen, TOKEN).expect("stand-in"),
            platform,
        };
        operator.write("customers.yaml", CUSTOMERS);
        operator.write("plans.yaml", PLANS);
        operator
    }

    /// Creates an operator whose lists have been accepted as version 1.
    fn with_lists() -> Self {
        let operator = Self::new();
        operator.run_ok(&["put"]);
        operator
    }

    fn path(&self, name: &str) -> String {
        self.directory.path().join(name).display().to_string()
    }

    fn read(&self, name: &str) -> String {
        std::fs::read_to_string(self.path(name)).expect("file")
    }

    fn write(&self, name: &str, content: &str) {
        std::fs::write(self.path(name), content).expect("file");
    }

    fn replace(&self, name: &str, old: &str, new: &str) {
        let content = self.read(name);
        assert!(content.contains(old), "{content}");
        self.write(name, &content.replace(old, new));
    }

    /// Runs a subcommand and adds the options that it requires: the platform, the lists and the operator.
    fn run(&self, arguments: &[&str]) -> Result<String, CommandError> {
        let mut all_arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
        if arguments[0] != "check" {
            all_arguments.extend(["--platform".into(), self.server.address().to_string()]);
            all_arguments.extend(["--token".into(), TOKEN.into()]);
        }
        if matches!(arguments[0], "check" | "get" | "put") && !arguments.contains(&"--json") {
            all_arguments.extend(["--customers".into(), self.path("customers.yaml")]);
            all_arguments.extend(["--plans".into(), self.path("plans.yaml")]);
        }
        if matches!(arguments[0], "edit" | "put" | "restore") {
            all_arguments.extend(["--operator".into(), "thandi".into()]);
        }
        run(&self.clock, "", &all_arguments)
    }

    fn run_ok(&self, arguments: &[&str]) -> String {
        self.run(arguments).expect("accepted")
    }

    /// Runs a subcommand that must succeed and print exactly `expected`.
    #[track_caller]
    fn expect_output(&self, arguments: &[&str], expected: &str) {
        assert_eq!(self.run_ok(arguments), expected);
    }

    fn run_failing(&self, arguments: &[&str], code: u8) -> String {
        let error = self.run(arguments).expect_err("refused");
        assert_eq!(error.exit_code(), code, "{error}");
        error.to_string()
    }
}

fn run(clock: &ManualClock, input: &str, arguments: &[String]) -> Result<String, CommandError> {
    let mut output = Vec::new();
    let mut console = Console {
        clock,
        input: &mut input.as_bytes(),
        output: &mut output,
    };
    medlarspool::run(arguments, &mut console)?;
    Ok(String::from_utf8(output).expect("text"))
}

#[test]
fn check_counts_the_entries_of_valid_lists() {
    let operator = Operator::new();
    let text = operator.run_ok(&["check"]);
    assert!(text.starts_with("valid: 1 customers, 2 plans, 2 services; digest "));
}

#[test]
fn invalid_lists_are_reported_by_file_and_change_nothing() {
    let operator = Operator::with_lists();
    operator.replace("customers.yaml", "plan: observer", "plan: observers");
    let path = operator.path("customers.yaml");
    let text = operator.run_failing(&["put"], 3);
    assert!(
        text.starts_with(&format!("{path}: line 4: field `plan`: `observers` ")),
        "{text}"
    );
    assert!(
        operator
            .run_ok(&["get", "--json"])
            .contains("\"version\":1")
    );
}

#[test]
fn lists_are_put_edited_and_put_again() {
    let operator = Operator::new();
    let text = operator.run_ok(&["put"]);
    assert!(text.starts_with("accepted as version 1 (change "), "{text}");
    assert!(
        operator
            .read("customers.yaml")
            .starts_with("base_version: 1\n# ours\n")
    );
    operator.replace("customers.yaml", "plan: observer", "plan: guest");
    assert!(
        operator
            .run_ok(&["put"])
            .starts_with("accepted as version 2 ")
    );
    operator.expect_output(&["put"], "unchanged: version 2 holds this already\n");
    operator.expect_output(&["history", "--version", "2"], "put customer `karoo`\n");
}

#[test]
fn lists_without_a_base_version_are_refused_once_a_version_exists() {
    let operator = Operator::with_lists();
    operator.write("customers.yaml", CUSTOMERS);
    operator.write("plans.yaml", PLANS);
    let text = operator.run_failing(&["put"], 2);
    assert!(text.starts_with("the lists name no `base_version`, but version `1` exists; "));
    operator.expect_output(
        &["put", "--base", "1"],
        "unchanged: version 1 holds this already\n",
    );
}

#[test]
fn a_concurrent_edit_is_rebased_and_an_overlapping_one_is_refused() {
    let operator = Operator::with_lists();
    operator.run_ok(&["edit", "plan", "guest", "--weight", "7"]);
    operator.replace("customers.yaml", "plan: observer", "plan: guest");
    let text = operator.run_ok(&["put"]);
    assert!(
        text.contains("it also holds other operators' edits"),
        "{text}"
    );
    assert!(operator.read("plans.yaml").starts_with("base_version: 1\n"));
    operator.replace(
        "plans.yaml",
        "guest, uses: [], weight: 1",
        "guest, uses: [], weight: 9",
    );
    assert_eq!(
        operator.run_failing(&["put"], 6),
        "not accepted: plan `guest` was changed by version `2` since version `1`"
    );
    operator.run_ok(&["get"]);
    assert!(operator.read("plans.yaml").contains("weight: 7"));
}

#[rstest]
#[case::customer(&["customer", "karoo", "--plan", "guest"], "put customer `karoo`")]
#[case::new_plan(&["plan", "gold", "--uses", "sky-map,booking", "--weight", "4"], "put plan `gold`")]
#[case::plan(&["plan", "guest", "--uses", "booking"], "put plan `guest`")]
#[case::removal(&["customer", "karoo", "--remove"], "remove customer `karoo`")]
#[case::service(&["service", "booking", "--timeout-ms", "9000"], "put service `booking`")]
fn one_entry_is_edited(#[case] edit: &[&str], #[case] expected: &str) {
    let operator = Operator::with_lists();
    operator.run_ok(&[&["edit"], edit].concat());
    let entries = operator.run_ok(&["history", "--version", "2"]);
    assert_eq!(entries, format!("{expected}\n"));
}

#[rstest]
#[case::absent(&["customer", "nobody", "--remove"], 3, "customer `nobody` is not listed; not accepted")]
#[case::dangling(
    &["plan", "observer", "--remove"],
    3,
    "customer `karoo` names plan `observer`, which is not listed"
)]
#[case::incomplete(
    &["customer", "new", "--plan", "guest"],
    2,
    "`--credential-sha256` is missing; see `medlarspool --help`"
)]
#[case::kind(
    &["plans", "observer", "--remove"],
    2,
    "`plans` is none of `customer`, `plan` and `service`; see `medlarspool --help`"
)]
fn an_invalid_edit_changes_nothing(
    #[case] edit: &[&str],
    #[case] code: u8,
    #[case] expected: &str,
) {
    let operator = Operator::with_lists();
    assert_eq!(
        operator.run_failing(&[&["edit"], edit].concat(), code),
        expected
    );
    assert!(
        operator
            .run_ok(&["get", "--json"])
            .contains("\"version\":1")
    );
}

#[test]
fn history_lists_who_asked_for_what() {
    let operator = Operator::with_lists();
    operator.run_ok(&["edit", "customer", "karoo", "--plan", "guest"]);
    operator.run_ok(&["restore", "1"]);
    let text = operator.run_ok(&["history"]);
    let lines: Vec<&str> = text.lines().skip(1).collect();
    assert_eq!(lines.len(), 3);
    assert!(
        lines[0].starts_with("       3  2001-09-09T01:46:40Z  thandi "),
        "{text}"
    );
    let digest = |line: &str| line.split_whitespace().nth(3).map(ToOwned::to_owned);
    assert_eq!(digest(lines[0]), digest(lines[2]), "restored");
    assert_eq!(
        operator.run_failing(&["restore", "9"], 3),
        "not accepted: there is no version `9`"
    );
}

/// Puts an edit while `faults` prevent every answer, and returns the change's id.
fn put_unanswered(operator: &Operator, faults: FakeFaults) -> String {
    operator.replace("customers.yaml", "plan: observer", "plan: guest");
    operator.platform.set_faults(faults);
    let text = operator.run_failing(&["put", "--change", "our-change"], 5);
    operator.platform.set_faults(FakeFaults::default());
    assert!(text.starts_with("outcome not known ("), "{text}");
    assert!(
        text.ends_with("; run `medlarspool history --change our-change`"),
        "{text}"
    );
    "our-change".into()
}

#[test]
fn an_unknown_outcome_is_resolved_by_the_change_id() {
    let operator = Operator::with_lists();
    let faults = FakeFaults {
        lost_writes: 20,
        ..FakeFaults::default()
    };
    let change = put_unanswered(&operator, faults);
    let text = operator.run_ok(&["history", "--change", &change]);
    assert!(
        text.starts_with("change our-change: not accepted so far, "),
        "{text}"
    );
    operator.run_ok(&["put", "--change", &change]);
    operator.expect_output(
        &["history", "--change", &change],
        "change our-change: accepted as version 2\n",
    );
    let again = operator.run_ok(&["put", "--change", &change]);
    assert_eq!(again, "accepted as version 2 (change our-change)\n");
}

#[test]
fn an_edit_that_is_retried_with_its_change_id_gets_the_actual_outcome() {
    let operator = Operator::with_lists();
    let edit = [
        "edit",
        "customer",
        "karoo",
        "--remove",
        "--change",
        "our-change",
    ];
    let expected = "accepted as version 2 (change our-change)\n";
    operator.expect_output(&edit, expected);
    operator.expect_output(&edit, expected);
    operator.run_ok(&["history", "--change", "other-change", "--withdraw"]);
    let edit = [
        "edit",
        "customer",
        "karoo",
        "--remove",
        "--change",
        "other-change",
    ];
    let text = operator.run_failing(&edit, 3);
    assert_eq!(text, "not accepted: change `other-change` was withdrawn");
}

#[rstest]
#[case::edit(&["edit", "customer", "karoo", "--remove"])]
#[case::put(&["put"])]
#[case::restore(&["restore", "1"])]
fn a_change_that_may_have_been_accepted_is_not_reported_as_refused(#[case] arguments: &[&str]) {
    let operator = Operator::with_lists();
    operator.platform.set_faults(FakeFaults {
        down: true,
        ..FakeFaults::default()
    });
    operator.run_failing(arguments, 4);
    operator.run_failing(&[arguments, &["--change", "our-change"]].concat(), 5);
}

#[test]
fn a_withdrawn_change_can_not_be_accepted() {
    let operator = Operator::with_lists();
    let faults = FakeFaults {
        lost_writes: 20,
        ..FakeFaults::default()
    };
    let change = put_unanswered(&operator, faults);
    let text = operator.run_ok(&["history", "--change", &change, "--withdraw"]);
    assert_eq!(
        text,
        "change our-change: withdrawn: it was not accepted and never will be\n"
    );
    let text = operator.run_failing(&["put", "--change", &change], 3);
    assert_eq!(text, "not accepted: change `our-change` was withdrawn");
}

#[test]
fn a_credential_is_hashed_without_its_line_end() {
    let arguments = ["credential".to_owned()];
    let hash = run(&ManualClock::default(), "hello\n", &arguments).expect("hash");
    let expected = "2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824\n";
    assert_eq!(hash, expected);
}

#[test]
fn status_and_dump_query_one_daemon() {
    let daemon = StandInDaemon::start();
    let ask = |subcommand: &str, token: &str| {
        let address = daemon.address().to_string();
        let arguments = [subcommand, "--daemon", &address, "--token", token];
        let arguments: Vec<String> = arguments.iter().map(ToString::to_string).collect();
        run(&ManualClock::default(), "", &arguments)
    };
    let status = ask("status", StandInDaemon::TOKEN).expect("status");
    assert!(
        status.ends_with("1 of 2 daemons hold version 7\n"),
        "{status}"
    );
    assert!(status.contains("i-2"), "{status}");
    let dump = ask("dump", StandInDaemon::TOKEN).expect("dump");
    assert!(dump.contains("\"table\": []"), "{dump}");
    let refused = ask("dump", "wrong").expect_err("token");
    assert_eq!(refused.exit_code(), 4);
    assert!(refused.to_string().ends_with("status `401`"), "{refused}");
}
