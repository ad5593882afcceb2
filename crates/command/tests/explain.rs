//! The output of `explain` for log lines in the daemons' format.

use std::io::Write;

use medlarspool::{Console, run};
use medlarspool_types::SystemClock;
use rstest::rstest;

fn explain(lines: &[&str]) -> String {
    let mut file = tempfile::NamedTempFile::new().unwrap();
    for line in lines {
        writeln!(file, "{line}").unwrap();
    }
    let path = file.path().to_str().unwrap().to_owned();
    let mut output = Vec::new();
    let mut input: &[u8] = &[];
    let mut console = Console {
        clock: &SystemClock,
        input: &mut input,
        output: &mut output,
    };
    run(&["explain".into(), "abc".into(), path], &mut console).unwrap();
    String::from_utf8(output).unwrap()
}

#[rstest]
#[case::busy("busy", "longer queues")]
#[case::calls_fail("calls-fail", "would have worked in vain")]
#[case::deadline("deadline", "time was over")]
#[case::hop_lost("hop-lost", "could not tell")]
#[case::moved("moved", "had left or gone down")]
#[case::no_config("no-config", "no configuration yet")]
#[case::no_route("no-route", "no route")]
#[case::no_target("no-target", "known to live")]
#[case::quarantined("quarantined", "crashed targets before")]
#[case::attempts_used_up("attempts-used-up", "attempts or the retry budget were used up")]
#[case::no_budget("no-budget", "attempts or the retry budget were used up")]
#[case::stopping("stopping", "planned stop")]
#[case::target_failed("target-failed", "no whole answer")]
#[case::target_refused("target-refused", "turned it away")]
#[case::unauthorized("unauthorized", "no key that the configuration")]
#[case::unconfirmed("unconfirmed", "keys had expired")]
#[case::unknown_key("unknown-key", "did not know its key")]
fn each_reason_has_its_explanation(#[case] reason: &str, #[case] part: &str) {
    let line =
        format!(r#"{{"at_ms":5,"event":"refused","id":"abc","reason":"{reason}","service":"s"}}"#);
    assert!(explain(&[&line]).contains(part));
}

#[test]
fn a_targets_own_failure_is_reported() {
    let explanation = explain(&[
        r#"{"at_ms":5,"event":"repeat","id":"abc","arrivals":1}"#,
        r#"{"at_ms":6,"event":"target-error","id":"abc","service":"s","status":500}"#,
    ]);
    assert!(
        explanation.contains("a failure of its own (status 500)"),
        "{explanation}"
    );
}

#[test]
fn an_earlier_attempt_that_may_have_run_is_reported() {
    let explanation = explain(&[
        r#"{"at_ms":6,"event":"refused","id":"abc","arrivals":1,"reason":"busy","service":"s","verdict":"may-have-run"}"#,
    ]);
    assert!(
        explanation.contains("\nAn earlier try reached a target and may have run"),
        "{explanation}"
    );
}

#[test]
fn lines_of_several_daemons_are_sorted_by_time() {
    let explanation = explain(&[
        r#"  9.2 sidecar-b {"at_ms":9,"event":"refused","id":"abc","reason":"target-failed","service":"s"}"#,
        r#"  8.1 sidecar-a {"at_ms":8,"event":"run-lost","id":"abc","error":"the connection was lost"}"#,
        r#"  8.1 sidecar-a {"at_ms":8,"event":"run-lost","id":"other","error":"another"}"#,
        "not a line of a daemon about abc",
    ]);
    let lines: Vec<&str> = explanation.lines().collect();
    assert_eq!(lines.len(), 3, "{explanation}");
    assert!(lines[0].contains("run-lost") && lines[1].contains("refused"));
    assert!(lines[2].contains("the connection was lost"));
}

#[test]
fn a_request_without_lines_was_answered_at_the_first_attempt() {
    assert!(explain(&["{}"]).contains("answered at the first try"));
}

#[test]
fn a_request_without_lines_may_have_been_lost_with_its_daemon() {
    let explanation = explain(&[r#"{"at_ms":6,"event":"start","instance":"n1"}"#]);
    assert!(
        explanation.contains("ended while it waited"),
        "{explanation}"
    );
}

#[test]
fn a_request_that_a_planned_stop_cuts_off_is_reported() {
    let explanation = explain(&[
        r#"{"at_ms":5,"event":"cut-off","id":"abc","service":"s","after_us":700000,"is_call":false}"#,
    ]);
    assert!(explanation.contains("may have run"), "{explanation}");
}
