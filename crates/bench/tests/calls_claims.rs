//! Requests with the same idempotency key run at most once, whichever daemons they are sent through.

use std::{
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use medlarspool_bench::{CallerReply, ProcessFleet};
use rstest::rstest;

mod call_fleet;

use call_fleet::{
    CREDENTIAL, post_and_interrupt, start_fleet, status_and_verdict, wait_until_ready,
};

/// Returns a UUID of version 7 with the current time.
fn new_key() -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let made_ms = now.expect("the clock is past the Unix epoch").as_millis();
    let (upper, lower) = (made_ms >> 16, made_ms & 0xffff);
    let random = fastrand::u64(..) & 0xffff_ffff_ffff;
    format!("{upper:08x}-{lower:04x}-7abc-8def-{random:012x}")
}

fn post(fleet: &ProcessFleet, daemon: usize, id: &str, key: &str) -> CallerReply {
    let headers = [("x-request-id", id), ("idempotency-key", key)];
    let reply = fleet.post(daemon, "/alerts/send", CREDENTIAL, &headers);
    reply.expect("an answer is received")
}

#[test]
fn one_key_on_two_daemons_at_once_runs_once() {
    let fleet = start_fleet(2, Duration::from_millis(300));
    wait_until_ready(&fleet);
    let key = new_key();
    let replies = thread::scope(|scope| {
        let callers: Vec<_> = (0..6)
            .map(|index| {
                let (fleet, key) = (&fleet, key.as_str());
                scope.spawn(move || post(fleet, index % 3, "twice", key))
            })
            .collect();
        let replies = callers.into_iter().map(thread::ScopedJoinHandle::join);
        replies.collect::<Result<Vec<_>, _>>()
    });
    for reply in replies.expect("the callers end") {
        assert_eq!(status_and_verdict(&reply), (200, "ran"), "{}", reply.body);
    }
    assert_eq!(fleet.run_count("twice"), 1);
}

#[test]
fn a_key_that_is_sent_again_gets_the_first_answer() {
    let fleet = start_fleet(2, Duration::ZERO);
    wait_until_ready(&fleet);
    let key = new_key();
    let first = post(&fleet, 0, "again", &key);
    for daemon in 0..3 {
        assert_eq!(post(&fleet, daemon, "again", &key), first);
    }
    assert_eq!(status_and_verdict(&first), (200, "ran"));
    assert_eq!(fleet.run_count("again"), 1);
}

#[test]
fn a_key_reused_for_another_request_is_a_conflict() {
    let fleet = start_fleet(1, Duration::ZERO);
    wait_until_ready(&fleet);
    let key = new_key();
    assert_eq!(post(&fleet, 0, "first", &key).status, 200);
    let headers = [("x-request-id", "other"), ("idempotency-key", &key)];
    let other = fleet.post(0, "/alerts/other", CREDENTIAL, &headers);
    assert_eq!(
        status_and_verdict(&other.expect("an answer is received")),
        (409, "not-run")
    );
    assert_eq!(fleet.run_count("other"), 0);
}

#[rstest]
#[case::no_uuid("order-17")]
#[case::version_4("7b0fb8c2-9a0c-4b1e-8a55-5e4f4b1c2d3e")]
#[case::long_ago("01700000-0000-7abc-8def-000000000000")]
fn a_key_whose_age_is_unknown_or_too_great_is_refused(#[case] key: &str) {
    let fleet = start_fleet(1, Duration::ZERO);
    wait_until_ready(&fleet);
    let reply = post(&fleet, 0, "refused", key);
    assert_eq!(status_and_verdict(&reply), (400, "not-run"));
    assert_eq!(fleet.run_count("refused"), 0);
}

#[test]
fn a_keyed_request_whose_gate_died_during_the_run_is_not_run_again() {
    let mut fleet = start_fleet(2, Duration::from_secs(1));
    wait_until_ready(&fleet);
    let key: &'static str = new_key().leak();
    let headers: &'static [_] =
        Vec::from([("x-request-id", "gone"), ("idempotency-key", key)]).leak();
    let first = post_and_interrupt(&mut fleet, headers, |fleet| {
        let ran_at = (1..3).find(|&daemon| fleet.daemon_run_count(daemon, "gone") > 0);
        let ran_at = ran_at.expect("a daemon runs the request");
        fleet.daemons[ran_at].process.kill();
    });
    assert_eq!(status_and_verdict(&first), (502, "may-have-run"));
    for _ in 0..3 {
        let again = post(&fleet, 0, "gone", key);
        assert_eq!(status_and_verdict(&again), (502, "may-have-run"));
    }
    assert_eq!(fleet.run_count("gone"), 1);
}

#[test]
fn without_the_store_only_keyed_requests_are_refused() {
    let mut fleet = start_fleet(1, Duration::ZERO);
    wait_until_ready(&fleet);
    fleet.platform.kill();
    let keyed = post(&fleet, 0, "keyed", &new_key());
    assert_eq!(status_and_verdict(&keyed), (503, "not-run"));
    assert_eq!(fleet.run_count("keyed"), 0);
    let plain = fleet.post(0, "/alerts/send", CREDENTIAL, &[]);
    assert_eq!(
        status_and_verdict(&plain.expect("an answer is received")),
        (200, "ran")
    );
}
