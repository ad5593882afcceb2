//! What a gate expects a request to wait if others that arrive later go before it.

use std::time::{Duration, Instant};

use medlarspool_mesh::{GateDecision, GateQueue, GateRequest};
use rstest::rstest;

const RUN_TIME: Duration = Duration::from_millis(40);

const SLOTS: u32 = 4;

/// How long the tested request may wait: twice the wait for the first free slot.
const MAX_WAIT: Duration = Duration::from_millis(10);

fn request(now: Instant, rank: u32) -> GateRequest {
    GateRequest {
        account: None,
        expected_run_time: RUN_TIME,
        is_call: false,
        latest_on_time_start: now + MAX_WAIT,
        latest_start: now + MAX_WAIT,
        rank,
    }
}

/// Fills all slots again and again for a second with requests of which `urgent_of_ten` in ten have rank 0 and the others
/// rank 2. Returns the queue and the time when all slots have just been filled.
fn busy_queue(urgent_of_ten: u32) -> (GateQueue, Instant) {
    let mut queue = GateQueue::new(SLOTS);
    let mut now = Instant::now();
    for turn in 0..25 * SLOTS {
        if turn >= SLOTS {
            queue.finish(RUN_TIME);
        }
        let rank = if turn % 10 < urgent_of_ten { 0 } else { 2 };
        let decision = queue.request_slot(now, request(now, rank), Duration::ZERO);
        assert_eq!(decision, GateDecision::Start);
        now += RUN_TIME / SLOTS;
    }
    (queue, now)
}

/// Guards against requests that wait in vain: their queue seems short, but more urgent ones that arrive meanwhile take most
/// of the slots that become free.
#[rstest]
#[case::few_urgent(2, true)]
#[case::most_urgent(8, false)]
fn more_urgent_arrivals_count_as_ahead(#[case] urgent_of_ten: u32, #[case] waits: bool) {
    let (mut queue, now) = busy_queue(urgent_of_ten);
    let decision = queue.request_slot(now, request(now, 2), MAX_WAIT);
    assert_eq!(
        matches!(decision, GateDecision::Wait(_)),
        waits,
        "{decision:?}"
    );
}

/// Guards against estimates by what started long ago: after a second without urgent requests, they no longer count.
#[test]
fn urgent_starts_of_a_second_ago_do_not_count() {
    let (mut queue, now) = busy_queue(8);
    let later = now + Duration::from_secs(1);
    let decision = queue.request_slot(later, request(later, 2), MAX_WAIT);
    assert!(matches!(decision, GateDecision::Wait(_)), "{decision:?}");
}

/// Guards against requests that are refused since more urgent ones with long runs have just filled the slots once: these
/// runs alone don't tell that further ones follow.
#[rstest]
#[case::with_account(Some("account"))]
#[case::without_account(None)]
fn long_runs_that_fill_the_slots_once_are_no_lasting_load(#[case] account: Option<&str>) {
    let mut queue = GateQueue::new(SLOTS);
    let now = Instant::now();
    let long = |rank| GateRequest {
        account: account.map(Into::into),
        expected_run_time: Duration::from_secs(3),
        latest_on_time_start: now + Duration::from_millis(3_600),
        latest_start: now + Duration::from_millis(3_600),
        ..request(now, rank)
    };
    for _ in 0..SLOTS {
        let decision = queue.request_slot(now, long(0), Duration::ZERO);
        assert_eq!(decision, GateDecision::Start);
    }
    let decision = queue.request_slot(now, long(2), Duration::from_millis(3_600));
    assert!(matches!(decision, GateDecision::Wait(_)), "{decision:?}");
    assert_eq!(queue.remove_hopeless(now), []);
}

/// Guards against urgent requests that are refused for less urgent ones, which they go before.
#[test]
fn less_urgent_starts_do_not_count() {
    let (mut queue, now) = busy_queue(2);
    let decision = queue.request_slot(now, request(now, 0), MAX_WAIT);
    assert!(matches!(decision, GateDecision::Wait(_)), "{decision:?}");
}

/// Guards against requests that wait until they are refused although it is known long before that they won't start: a
/// request is removed when so many more urgent ones have gone ahead that its wait ends too late, and no other one is.
#[test]
fn a_request_that_was_passed_too_often_is_removed_at_once() {
    let (mut queue, now) = busy_queue(0);
    let max_wait = RUN_TIME;
    let request = |rank| GateRequest {
        latest_on_time_start: now + max_wait,
        latest_start: now + max_wait,
        ..request(now, rank)
    };
    let GateDecision::Wait(ticket) = queue.request_slot(now, request(2), max_wait) else {
        panic!("the queue is empty");
    };
    let mut urgent_count = 0;
    let removed = loop {
        assert!(matches!(
            queue.request_slot(now, request(0), max_wait),
            GateDecision::Wait(_)
        ));
        urgent_count += 1;
        let removed = queue.remove_hopeless(now);
        if !removed.is_empty() {
            break removed;
        }
    };
    assert_eq!(removed, [ticket]);
    // In its longest wait, the slots run as many requests ahead of it as there are slots.
    assert!(
        (SLOTS - 1..=SLOTS).contains(&urgent_count),
        "{urgent_count}"
    );
    assert_eq!(
        queue.waiting_count(u32::MAX),
        usize::try_from(urgent_count).unwrap()
    );
}

/// Guards against calls of running requests that are removed for more urgent requests, beside which they get a share of the
/// time: neither those that started lately nor those that wait keep a call from its share.
#[rstest]
#[case::urgent_ones_started(0)]
#[case::urgent_ones_wait(8)]
fn calls_that_get_their_share_are_not_removed(#[case] waiting_count: usize) {
    let (mut queue, now) = busy_queue(10);
    for _ in 0..waiting_count {
        let urgent = GateRequest {
            latest_on_time_start: now + RUN_TIME * 4,
            latest_start: now + RUN_TIME * 4,
            ..request(now, 0)
        };
        let decision = queue.request_slot(now, urgent, RUN_TIME * 4);
        assert!(matches!(decision, GateDecision::Wait(_)), "{decision:?}");
    }
    let call = GateRequest {
        is_call: true,
        latest_on_time_start: now + MAX_WAIT * 2,
        latest_start: now + MAX_WAIT * 2,
        ..request(now, 2)
    };
    let decision = queue.request_slot(now, call, MAX_WAIT * 2);
    assert!(matches!(decision, GateDecision::Wait(_)), "{decision:?}");
    assert_eq!(queue.remove_hopeless(now), []);
}

/// Guards against an account's requests that are removed for the requests of others, with which it shares the time.
#[test]
fn requests_of_accounts_are_not_removed() {
    let (mut queue, now) = busy_queue(0);
    let of_account = GateRequest {
        account: Some("account".into()),
        ..request(now, 2)
    };
    let decision = queue.request_slot(now, of_account, MAX_WAIT);
    assert!(matches!(decision, GateDecision::Wait(_)));
    assert_eq!(queue.remove_hopeless(now + MAX_WAIT * 2), []);
}
