//! The fate of calls: a call reported as "not run" never runs, even if messages are late, lost or
//! repeated and records are evicted.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use medlarspool_calls::{
    Arrival, CallSettings, ChannelId, Fate, FateQuestion, FateTable, QuestionKind, RunOutcome,
};
use medlarspool_types::{CallId, Incarnation};
use proptest::prelude::*;

const CALL: CallId = CallId(7);

fn small_limits() -> CallSettings {
    CallSettings {
        answer_retention: Duration::from_millis(20),
        fate_retention: Duration::from_millis(40),
        max_answers_bytes: 3,
        max_fates: 4,
        max_open_channels: 3,
        ..CallSettings::default()
    }
}

fn question(call: CallId, channel: ChannelId, kind: QuestionKind) -> FateQuestion {
    FateQuestion {
        call,
        channel,
        kind,
    }
}

fn answered(answer: u32) -> RunOutcome<u32> {
    RunOutcome::Answered {
        answer,
        answer_bytes: 1,
    }
}

#[test]
fn a_call_never_seen_is_fenced_with_its_channel() {
    let start = Instant::now();
    let mut fates: FateTable<u32> = FateTable::new(&small_limits(), Incarnation(1), start);
    let channel = fates.open_channel();
    let now = start + Duration::from_millis(10);
    let reply = fates.ask(now, &question(CALL, channel, QuestionKind::Settle));
    assert_eq!(reply.settle(Duration::from_millis(9)), Fate::NotRun);
    assert_eq!(fates.arrive(now, CALL, channel), Arrival::Fenced);
    let later = now + Duration::from_mins(1);
    fates.evict(later);
    assert!(fates.is_empty());
    assert_eq!(fates.arrive(later, CALL, channel), Arrival::ChannelClosed);
}

#[test]
fn a_call_older_than_the_gate_process_may_have_run() {
    let start = Instant::now();
    let mut fates: FateTable<u32> = FateTable::new(&small_limits(), Incarnation(2), start);
    let channel = fates.open_channel();
    let now = start + Duration::from_millis(10);
    let reply = fates.ask(now, &question(CALL, channel, QuestionKind::Settle));
    assert_eq!(reply.settle(Duration::from_millis(10)), Fate::MayHaveRun);
    let earlier = ChannelId {
        gate_incarnation: Incarnation(1),
        number: 0,
    };
    let reply = fates.ask(now, &question(CallId(8), earlier, QuestionKind::Settle));
    assert_eq!(reply.settle(Duration::ZERO), Fate::MayHaveRun);
}

#[test]
fn an_answer_is_kept_until_it_is_evicted() {
    let start = Instant::now();
    let mut fates = FateTable::new(&small_limits(), Incarnation(1), start);
    let channel = fates.open_channel();
    assert_eq!(fates.arrive(start, CALL, channel), Arrival::New);
    assert!(fates.start(CALL));
    let asked = question(CALL, channel, QuestionKind::Settle);
    assert_eq!(fates.ask(start, &asked).fate, Fate::Underway);
    fates.finish(start, CALL, answered(5));
    assert_eq!(fates.ask(start, &asked).fate, Fate::Ran(5));
    let later = start + Duration::from_millis(30);
    assert_eq!(fates.ask(later, &asked).fate, Fate::AnswerGone);
    assert_eq!(fates.answers_bytes(), 0);
}

#[test]
fn an_inquiry_fences_nothing() {
    let now = Instant::now();
    let mut fates: FateTable<u32> = FateTable::new(&small_limits(), Incarnation(1), now);
    let channel = fates.open_channel();
    let inquiry = question(CALL, channel, QuestionKind::Inquire);
    assert_eq!(fates.ask(now, &inquiry).fate, Fate::MayHaveRun);
    assert_eq!(fates.arrive(now, CALL, channel), Arrival::New);
    assert_eq!(fates.ask(now, &inquiry).fate, Fate::Underway);
    assert!(fates.start(CALL));
}

/// Guards against reporting a call whose record was evicted as "not run" when its fate is asked a
/// second time: the first question leaves a record that blocks the call but does not show that it never
/// ran. `not_run_is_a_fact` found this fault.
#[test]
fn an_evicted_call_stays_unknown_when_asked_again() {
    let now = Instant::now();
    let mut fates: FateTable<u32> = FateTable::new(&small_limits(), Incarnation(1), now);
    let channel = fates.open_channel();
    fates.arrive(now, CALL, channel);
    assert!(fates.start(CALL));
    fates.finish(now, CALL, RunOutcome::Lost);
    let later = now + Duration::from_secs(1);
    let asked = question(CALL, channel, QuestionKind::Settle);
    for _ in 0..2 {
        let reply = fates.ask(later, &asked);
        assert_eq!(reply.settle(Duration::from_secs(1)), Fate::MayHaveRun);
    }
}

#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    Arrive(usize),
    Ask(usize),
    /// An entry makes a call's id and sends the call, which arrives with a later step or never.
    Create,
    Finish(usize, u8),
    Open,
    Restart,
    Start(usize),
}

struct Sent {
    call: CallId,
    channel: ChannelId,
    created_at: Instant,
    has_arrived: bool,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (1_u64..30).prop_map(Step::Advance),
        6 => any::<usize>().prop_map(Step::Arrive),
        4 => any::<usize>().prop_map(Step::Ask),
        6 => Just(Step::Create),
        4 => (any::<usize>(), 0_u8..3).prop_map(|(pick, end)| Step::Finish(pick, end)),
        1 => Just(Step::Open),
        1 => Just(Step::Restart),
        6 => any::<usize>().prop_map(Step::Start),
    ];
    proptest::collection::vec(step, 1..250)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    /// Calls arrive late, twice or never, and the gate restarts and evicts records. A call that it
    /// reports as "not run" has not run and never runs, and no call runs twice.
    #[test]
    fn not_run_is_a_fact(steps in steps()) {
        let settings = small_limits();
        let mut now = Instant::now();
        let mut incarnation = Incarnation(1);
        let mut fates: FateTable<u32> = FateTable::new(&settings, incarnation, now);
        let mut channel = fates.open_channel();
        let mut sent: Vec<Sent> = Vec::new();
        let mut ran: BTreeSet<CallId> = BTreeSet::new();
        let mut not_run: BTreeSet<CallId> = BTreeSet::new();
        for step in steps {
            match step {
                Step::Advance(ms) => now += Duration::from_millis(ms),
                Step::Arrive(pick) if !sent.is_empty() => {
                    let index = pick % sent.len();
                    let request = &mut sent[index];
                    if !std::mem::replace(&mut request.has_arrived, true) {
                        fates.arrive(now, request.call, request.channel);
                        let again = fates.arrive(now, request.call, request.channel);
                        prop_assert_ne!(again, Arrival::New);
                    }
                }
                Step::Ask(pick) if !sent.is_empty() => {
                    let asked = &sent[pick % sent.len()];
                    let settle_question = question(asked.call, asked.channel, QuestionKind::Settle);
                    let reply = fates.ask(now, &settle_question);
                    let fate = reply.settle(now - asked.created_at);
                    if fate == Fate::NotRun {
                        prop_assert!(!ran.contains(&asked.call), "a call reported as not run had run");
                        not_run.insert(asked.call);
                    }
                }
                Step::Create => sent.push(Sent {
                    call: CallId(sent.len() as u128),
                    channel,
                    created_at: now,
                    has_arrived: false,
                }),
                Step::Finish(pick, end) if !sent.is_empty() => {
                    let call = sent[pick % sent.len()].call;
                    let end = match end {
                        0 => RunOutcome::Lost,
                        1 => answered(1),
                        _ => RunOutcome::Answered { answer: 2, answer_bytes: 2 },
                    };
                    fates.finish(now, call, end);
                }
                Step::Open => channel = fates.open_channel(),
                Step::Restart => {
                    incarnation = incarnation.next();
                    fates = FateTable::new(&settings, incarnation, now);
                    channel = fates.open_channel();
                }
                Step::Start(pick) if !sent.is_empty() => {
                    let call = sent[pick % sent.len()].call;
                    if fates.start(call) {
                        prop_assert!(!not_run.contains(&call), "a call reported as not run was started");
                        prop_assert!(ran.insert(call), "a call was started twice");
                    }
                }
                _ => {}
            }
            prop_assert!(fates.answers_bytes() <= settings.max_answers_bytes);
        }
    }
}
