//! The shares of accounts in a fleet that one of them overloads, as specified in docs/design/uneven-load.md.

mod load;

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use load::{Outcome, Policy, RequestKind, Scenario, capacity, map_read, simulate};
use medlarspool_mesh::{AccountRefusals, GateDecision, GateQueue, GateRequest};
use rstest::rstest;

const ACCOUNT_COUNT: u32 = 72;
const HOT_FACTOR: f64 = 7.5;
const MAX_WAIT: Duration = Duration::from_secs(10);
const RUN_TIME: Duration = Duration::from_millis(60);
const SKEW: f64 = 1.2;
const SLOTS: u32 = 6;
const TOTAL_UTILISATION: f64 = 1.3;

/// Returns the load of 72 accounts with a skew of 1.2, of which the account `hot` sends 7.5 times as much as usual,
/// at 1.3 times the capacity of the targets altogether.
fn scenario(hot: u32) -> Scenario {
    let slowdowns = [1.0; 12];
    let weights: Vec<f64> = (0..ACCOUNT_COUNT)
        .map(|account| {
            let factor = if account == hot { HOT_FACTOR } else { 1.0 };
            factor / f64::from(account + 1).powf(SKEW)
        })
        .collect();
    let requests_per_s = TOTAL_UTILISATION * capacity(SLOTS, &slowdowns, RUN_TIME);
    let total: f64 = weights.iter().sum();
    let kinds = weights
        .iter()
        .zip(0..)
        .map(|(weight, account)| RequestKind {
            account: Some(account),
            ..map_read(requests_per_s * weight / total)
        });
    Scenario {
        burst: None,
        entry_count: 61,
        kinds: kinds.collect(),
        duration: Duration::from_secs(20),
        limited_targets: None,
        lost_targets: None,
        return_count: 0,
        run_time_deviation: 0.3,
        slots: SLOTS,
        slowdowns: slowdowns.to_vec(),
    }
}

fn sum(outcomes: &[Outcome]) -> Outcome {
    outcomes.iter().fold(Outcome::default(), |sum, it| Outcome {
        gate_refused_count: sum.gate_refused_count + it.gate_refused_count,
        in_time_count: sum.in_time_count + it.in_time_count,
        late_count: sum.late_count + it.late_count,
        longest_refused_wait: sum.longest_refused_wait.max(it.longest_refused_wait),
        refused_count: sum.refused_count + it.refused_count,
        sent_count: sum.sent_count + it.sent_count,
    })
}

/// Returns the outcomes without those of the hot account.
fn others(all: &[Outcome], hot: u32) -> Vec<Outcome> {
    let others = all.iter().zip(0..).filter(|(_, account)| *account != hot);
    others.map(|(outcome, _)| *outcome).collect()
}

/// Guards against a queue in which one account's requests displace those of all others: the account sends 7.5 times
/// its usual load, and all accounts together ask for 1.3 times what the targets can serve.
#[rstest]
#[case::largest(0, 1)]
#[case::largest(0, 2)]
#[case::second(1, 3)]
#[case::second(1, 4)]
fn an_account_that_overloads_the_targets_waits_behind_itself(#[case] hot: u32, #[case] seed: u64) {
    let before = simulate(&scenario(hot), Policy::WithoutAccounts, seed);
    let now = simulate(&scenario(hot), Policy::Product, seed);
    let served_before = sum(&others(&before, hot)).share_served();
    let served_now = sum(&others(&now, hot)).share_served();
    assert!(
        served_before < 0.85,
        "the others were served {served_before}"
    );
    assert!(served_now > 0.96, "the others are served {served_now}");
}

/// Guards against accounts that get nothing, and against shares that cost throughput or time.
#[rstest]
#[case::largest(0, 1)]
#[case::second(1, 3)]
#[case::fourth(3, 4)]
#[case::smallest(71, 5)]
fn every_account_gets_a_quarter_of_the_share_of_all(#[case] hot: u32, #[case] seed: u64) {
    let before = sum(&simulate(&scenario(hot), Policy::WithoutAccounts, seed));
    let accounts = simulate(&scenario(hot), Policy::Product, seed);
    let all = sum(&accounts);
    for (account, outcome) in accounts.iter().enumerate() {
        let served = outcome.share_served();
        assert!(
            served > all.share_served() / 4.0,
            "account {account}: {outcome:?}, all: {all:?}"
        );
    }
    assert!(
        all.share_in_time() > before.share_in_time() - 0.01,
        "{all:?} {before:?}"
    );
    assert!(
        all.longest_refused_wait <= before.longest_refused_wait + RUN_TIME,
        "{all:?} {before:?}"
    );
    // Each of these is a round trip between an entry and a gate.
    assert!(
        f64::from(all.gate_refused_count) < 1.1 * f64::from(before.gate_refused_count),
        "{all:?} {before:?}"
    );
}

/// Guards against entries that refuse the requests of all accounts, since those of one account wait at the gates for
/// longer than the others may: a route of the same rank that isn't urgent.
#[rstest]
#[case(1)]
#[case(2)]
fn a_long_queue_of_one_account_does_not_refuse_others_at_entries(#[case] seed: u64) {
    let mut scenario = scenario(0);
    scenario.kinds[0].target_latency = Duration::from_millis(500);
    let before = simulate(&scenario, Policy::WithoutAccounts, seed);
    let now = simulate(&scenario, Policy::Product, seed);
    let served_before = sum(&others(&before, 0)).share_served();
    let served_now = sum(&others(&now, 0)).share_served();
    assert!(
        served_before < 0.3,
        "the others were served {served_before}"
    );
    assert!(served_now > 0.96, "the others are served {served_now}");
}

/// Guards against entries that go by the loads of gates alone, which don't tell accounts apart: a small account's
/// requests at an entry are always worth a question, those of an account that is refused are only now and then.
#[test]
fn an_entry_asks_a_busy_gate_unless_one_refused_the_account_recently() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let [large, small, service, other]: [Rc<str>; 4] =
        ["large", "small", "skymap", "alerts"].map(Into::into);
    let mut refusals = AccountRefusals::default();
    assert!(refusals.may_ask(start, &large, &service));
    refusals.record(start, &large, &service);
    assert!(!refusals.may_ask(at(249), &large, &service));
    assert!(refusals.may_ask(at(249), &large, &other));
    assert!(refusals.may_ask(at(249), &small, &service));
    assert!(refusals.may_ask(at(250), &large, &service));
}

fn request(now: Instant, account: Option<&str>) -> GateRequest {
    GateRequest {
        account: account.map(Into::into),
        expected_run_time: RUN_TIME,
        is_call: false,
        latest_on_time_start: now + MAX_WAIT,
        latest_start: now + MAX_WAIT,
        rank: 2,
    }
}

fn queue_request(queue: &mut GateQueue, now: Instant, request: GateRequest) -> u64 {
    match queue.request_slot(now, request, MAX_WAIT) {
        GateDecision::Wait(ticket) => ticket,
        decision => panic!("{decision:?}"),
    }
}

/// Returns a queue of one slot, in which a request runs.
fn busy_queue(now: Instant) -> GateQueue {
    let mut queue = GateQueue::new(1);
    let decision = queue.request_slot(now, request(now, None), MAX_WAIT);
    assert_eq!(decision, GateDecision::Start);
    queue
}

/// Ends the run of the only slot and returns the ticket of the next request.
fn next(queue: &mut GateQueue, now: Instant) -> Option<u64> {
    queue.finish(RUN_TIME);
    queue.start_next(now).map(|(ticket, _)| ticket)
}

/// Guards against a small account that waits behind the requests that a large one queued before it.
#[test]
fn accounts_take_turns() {
    let now = Instant::now();
    let mut queue = busy_queue(now);
    let large: Vec<u64> = (0..4)
        .map(|_| queue_request(&mut queue, now, request(now, Some("large"))))
        .collect();
    let small: Vec<u64> = (0..2)
        .map(|_| queue_request(&mut queue, now, request(now, Some("small"))))
        .collect();
    let other = queue_request(&mut queue, now, request(now, None));
    assert_eq!(
        queue.busiest_accounts(1),
        [("large".into(), 4)],
        "of {queue:?}"
    );
    let order: Vec<u64> = std::iter::from_fn(|| next(&mut queue, now)).collect();
    let expected = [
        large[0], small[0], other, large[1], small[1], large[2], large[3],
    ];
    assert_eq!(order, expected);
    assert_eq!(queue.busiest_accounts(10), []);
}

/// Guards against shares by the number of requests, by which an account with long runs takes most of the time.
#[test]
fn accounts_share_time_and_not_requests() {
    let now = Instant::now();
    let mut queue = busy_queue(now);
    let long_request = || GateRequest {
        expected_run_time: RUN_TIME * 3,
        ..request(now, Some("long"))
    };
    let mut started_count = [0, 0];
    let mut running = RUN_TIME;
    for _ in 0..400 {
        let counts = queue.busiest_accounts(10);
        let count = |name: &str| {
            counts
                .iter()
                .find(|(it, _)| **it == *name)
                .map_or(0, |it| it.1)
        };
        for _ in count("long")..3 {
            queue_request(&mut queue, now, long_request());
        }
        for _ in count("short")..3 {
            queue_request(&mut queue, now, request(now, Some("short")));
        }
        queue.finish(running);
        running = queue.start_next(now).unwrap().1;
        started_count[usize::from(running == RUN_TIME)] += 1;
    }
    assert_eq!(started_count, [100, 300]);
}

/// Guards against calls that get a single account's share of the time, since they count as one account, and not their
/// own beside clients' requests.
#[test]
fn calls_beside_many_accounts_get_their_share() {
    const ACCOUNTS: [&str; 9] = ["a", "b", "c", "d", "e", "f", "g", "h", "i"];
    let now = Instant::now();
    // With a single slot, the most credit of calls is that of one call, by which they get only a third.
    let mut queue = GateQueue::new(SLOTS);
    for _ in 0..SLOTS {
        let decision = queue.request_slot(now, request(now, None), MAX_WAIT);
        assert_eq!(decision, GateDecision::Start);
    }
    let mut call_count = 0;
    for _ in 0..1_000 {
        while queue.waiting_call_count() < 3 {
            let call = GateRequest {
                is_call: true,
                ..request(now, None)
            };
            queue_request(&mut queue, now, call);
        }
        let queued = queue.busiest_accounts(ACCOUNTS.len());
        for name in ACCOUNTS {
            if !queued.iter().any(|(other, _)| **other == *name) {
                queue_request(&mut queue, now, request(now, Some(name)));
            }
        }
        let waiting_before = queue.waiting_call_count();
        next(&mut queue, now).expect("a slot is free");
        call_count += waiting_before - queue.waiting_call_count();
    }
    assert!((400..500).contains(&call_count), "{call_count} of 1000");
}

/// Guards against the refusal of a small account's request because of a large account's queue, and against a queue of
/// the large account that is longer than its requests may wait.
#[test]
fn the_wait_of_an_account_does_not_depend_on_the_length_of_anothers_queue() {
    let now = Instant::now();
    let mut queue = busy_queue(now);
    let max_wait = RUN_TIME * 4;
    let mut large_count = 0;
    while let GateDecision::Wait(_) = queue.request_slot(now, request(now, Some("large")), max_wait)
    {
        large_count += 1;
    }
    // Half of the running request is left.
    assert_eq!(large_count, 4);
    let small = request(now, Some("small"));
    let too_short = RUN_TIME + RUN_TIME / 4;
    assert_eq!(
        queue.request_slot(now, small.clone(), too_short),
        GateDecision::Refuse {
            expected_wait: RUN_TIME + RUN_TIME / 2
        }
    );
    let decision = queue.request_slot(now, small, RUN_TIME * 2);
    assert!(matches!(decision, GateDecision::Wait(_)), "{decision:?}");
    let decision = queue.request_slot(now, request(now, Some("large")), max_wait);
    assert!(matches!(decision, GateDecision::Refuse { .. }));
    // An urgent request waits for none of them, as without accounts.
    let urgent = GateRequest {
        rank: 1,
        ..request(now, Some("large"))
    };
    let decision = queue.request_slot(now, urgent, RUN_TIME / 2);
    assert!(matches!(decision, GateDecision::Wait(_)), "{decision:?}");
}

/// Guards against state of accounts that have nothing queued any more, by which an account that returns would start
/// more than those that stayed.
#[test]
fn an_account_that_left_the_queue_has_saved_nothing() {
    let now = Instant::now();
    let mut queue = busy_queue(now);
    let left = queue_request(&mut queue, now, request(now, Some("left")));
    let stayed: Vec<u64> = (0..3)
        .map(|_| queue_request(&mut queue, now, request(now, Some("stayed"))))
        .collect();
    queue.cancel(left);
    assert_eq!(queue.busiest_accounts(10), [("stayed".into(), 3)]);
    assert_eq!(next(&mut queue, now), Some(stayed[0]));
    let returned: Vec<u64> = (0..2)
        .map(|_| queue_request(&mut queue, now, request(now, Some("left"))))
        .collect();
    assert_eq!(next(&mut queue, now), Some(stayed[1]));
    assert_eq!(next(&mut queue, now), Some(returned[0]));
    assert_eq!(queue.clear().len(), 2);
    assert_eq!(queue.busiest_accounts(10), []);
}
