//! The gate's queue: slots, fairness, load shedding, drain and cancellation.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use medlarspool_calls::{
    CallSettings, ChannelId, FairQueue, Gate, GateAction, GateWork, RefusalReason, RunOutcome,
};
use medlarspool_types::{CallId, Incarnation};
use proptest::prelude::*;
use rstest::rstest;

const RUN_TIME: Duration = Duration::from_millis(10);

struct GateHarness {
    actions: Vec<GateAction>,
    channel: ChannelId,
    gate: Gate<u32>,
    next_call: u128,
    now: Instant,
}

impl GateHarness {
    fn new(slots: u32, max_queued_requests: usize) -> Self {
        let settings = CallSettings {
            max_queued_requests,
            ..CallSettings::default()
        };
        let now = Instant::now();
        let mut gate = Gate::new(&settings, slots, Incarnation(1), now);
        let channel = gate.open_channel();
        Self {
            actions: Vec::new(),
            channel,
            gate,
            next_call: 0,
            now,
        }
    }

    fn offer(&mut self, customer: &str, weight: u32, max_wait: Duration) -> CallId {
        let call = CallId(self.next_call);
        self.next_call += 1;
        let work = GateWork {
            call,
            customer: customer.parse().unwrap(),
            deadline: self.now + max_wait,
            weight,
        };
        let channel = self.channel;
        self.gate.offer(self.now, work, channel, &mut self.actions);
        call
    }

    fn started(&mut self) -> Vec<CallId> {
        let started = self.actions.iter().filter_map(|action| match action {
            GateAction::Start { call } => Some(*call),
            _ => None,
        });
        let started = started.collect();
        self.actions.clear();
        started
    }

    fn finish(&mut self, call: CallId) {
        let outcome = RunOutcome::Answered {
            answer: 0,
            answer_bytes: 1,
        };
        self.gate.finish(self.now, call, outcome, &mut self.actions);
    }

    /// Runs the started and the queued calls to their ends, and returns the order in which they ran.
    fn run_to_completion(&mut self) -> Vec<CallId> {
        let mut order = Vec::new();
        let mut running = self.started();
        while let Some(call) = running.pop() {
            order.push(call);
            self.now += RUN_TIME;
            self.finish(call);
            running.extend(self.started());
        }
        order
    }

    fn refusals(&self) -> Vec<(CallId, RefusalReason)> {
        let refused = self.actions.iter().filter_map(|action| match action {
            GateAction::Refuse { call, refusal } => Some((*call, refusal.reason)),
            _ => None,
        });
        refused.collect()
    }
}

/// Of the first 20 calls from the queue, the flooding customer gets at most its share by weight, rounded up.
#[rstest]
#[case::equal_weights(1, 1, 10)]
#[case::double_weight(2, 1, 14)]
#[case::quadruple_weight(4, 1, 16)]
fn a_flood_leaves_others_their_share(
    #[case] flood_weight: u32,
    #[case] quiet_weight: u32,
    #[case] max_flood_calls: usize,
) {
    let mut harness = GateHarness::new(1, 100);
    let flooding: BTreeSet<CallId> = (0..40)
        .map(|_| harness.offer("flood", flood_weight, Duration::from_mins(1)))
        .collect();
    for _ in 0..10 {
        harness.offer("quiet", quiet_weight, Duration::from_mins(1));
    }
    let order = harness.run_to_completion();
    assert_eq!(order.len(), 50);
    let first = order.iter().skip(1).take(20);
    let flood_calls = first.filter(|call| flooding.contains(call)).count();
    assert!(
        flood_calls <= max_flood_calls,
        "{flood_calls} of the first 20"
    );
}

#[test]
fn a_full_queue_displaces_the_largest_backlog() {
    let mut harness = GateHarness::new(1, 4);
    for _ in 0..5 {
        harness.offer("flood", 1, Duration::from_mins(1));
    }
    let quiet = harness.offer("quiet", 1, Duration::from_mins(1));
    let last_of_flood = CallId(4);
    assert_eq!(
        harness.refusals(),
        [(last_of_flood, RefusalReason::Displaced)]
    );
    let refused = harness.offer("flood", 1, Duration::from_mins(1));
    assert_eq!(
        harness.refusals()[1..],
        [(refused, RefusalReason::QueueFull)]
    );
    assert!(harness.run_to_completion().contains(&quiet));
}

#[test]
fn a_call_that_cannot_meet_its_deadline_is_refused_at_once() {
    let mut harness = GateHarness::new(1, 100);
    harness.offer("a", 1, Duration::from_mins(1));
    harness.run_to_completion();
    for _ in 0..6 {
        harness.offer("a", 1, Duration::from_mins(1));
    }
    let too_late = harness.offer("a", 1, RUN_TIME * 3);
    assert_eq!(
        harness.refusals(),
        [(too_late, RefusalReason::DeadlineUnmeetable)]
    );
}

#[test]
fn a_drain_refuses_new_work_and_finishes_the_rest() {
    let mut harness = GateHarness::new(1, 100);
    harness.offer("a", 1, Duration::from_mins(1));
    harness.offer("a", 1, Duration::from_mins(1));
    harness.gate.drain();
    let late = harness.offer("a", 1, Duration::from_mins(1));
    assert_eq!(harness.refusals(), [(late, RefusalReason::Draining)]);
    assert!(!harness.gate.is_drained());
    assert_eq!(harness.run_to_completion().len(), 2);
    assert!(harness.gate.is_drained());
}

#[test]
fn a_cancelled_request_never_starts() {
    let mut harness = GateHarness::new(1, 100);
    let running = harness.offer("a", 1, Duration::from_mins(1));
    let waiting = harness.offer("a", 1, Duration::from_mins(1));
    assert!(harness.gate.cancel(waiting));
    assert!(!harness.gate.cancel(running));
    assert_eq!(harness.run_to_completion(), [running]);
}

/// The mean run time is far above the deadline, but a slot is free and no other call waits.
#[test]
fn a_stale_run_time_does_not_refuse_for_ever() {
    let mut harness = GateHarness::new(1, 100);
    let slow = harness.offer("a", 1, Duration::from_mins(1));
    harness.actions.clear();
    harness.now += Duration::from_secs(5);
    harness.finish(slow);
    let accepted = harness.offer("a", 1, Duration::from_secs(1));
    assert_eq!(harness.started(), [accepted]);
}

#[derive(Clone, Debug)]
enum Step {
    Advance(u64),
    Cancel(usize),
    Finish(usize),
    Offer { customer: u8, max_wait_ms: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        2 => (1_u64..20).prop_map(Step::Advance),
        1 => any::<usize>().prop_map(Step::Cancel),
        4 => any::<usize>().prop_map(Step::Finish),
        6 => (0_u8..4, 1_u64..200)
            .prop_map(|(customer, max_wait_ms)| Step::Offer { customer, max_wait_ms }),
    ];
    proptest::collection::vec(step, 1..200)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    /// While both customers have requests waiting, neither gets ahead of its share by more than one
    /// request of each.
    #[test]
    fn shares_are_kept_at_every_moment(weights in (1_u32..9, 1_u32..9), served_count in 1_usize..200) {
        let mut queue = FairQueue::default();
        let now = Instant::now();
        for call in 0..400 {
            let is_first = call % 2 == 0;
            queue.push(GateWork {
                call: CallId(call),
                customer: if is_first { "a" } else { "b" }.parse().unwrap(),
                deadline: now,
                weight: if is_first { weights.0 } else { weights.1 },
            });
        }
        let order: Vec<u128> = (0..served_count).map_while(|_| queue.pop()).map(|w| w.call.0).collect();
        let first_count = u32::try_from(order.iter().filter(|call| *call % 2 == 0).count()).unwrap();
        let second_count = u32::try_from(order.len()).unwrap() - first_count;
        let ahead = (first_count * weights.1).abs_diff(second_count * weights.0);
        prop_assert!(ahead <= weights.0 + weights.1, "{first_count} and {second_count}");
    }

    /// Each call is started, refused or cancelled exactly once, and no limit is exceeded.
    #[test]
    fn each_call_starts_or_is_refused_once(steps in steps()) {
        const SLOTS: usize = 3;
        const MAX_QUEUED: usize = 5;
        let mut harness = GateHarness::new(3, MAX_QUEUED);
        let mut end_counts: BTreeMap<CallId, u32> = BTreeMap::new();
        let mut running: Vec<CallId> = Vec::new();
        for step in steps {
            match step {
                Step::Advance(ms) => {
                    harness.now += Duration::from_millis(ms);
                    harness.gate.wake(harness.now, &mut harness.actions);
                }
                Step::Cancel(pick) => {
                    let call = CallId(pick as u128 % harness.next_call.max(1));
                    if harness.gate.cancel(call) {
                        *end_counts.entry(call).or_default() += 1;
                    }
                }
                Step::Finish(pick) if !running.is_empty() => {
                    let call = running.swap_remove(pick % running.len());
                    harness.finish(call);
                }
                Step::Finish(_) => {}
                Step::Offer { customer, max_wait_ms } => {
                    harness.offer(&format!("c{customer}"), 1, Duration::from_millis(max_wait_ms));
                }
            }
            for action in std::mem::take(&mut harness.actions) {
                let call = match action {
                    GateAction::Refuse { call, .. } => call,
                    GateAction::Repeated { .. } => panic!("a new call was taken for a repeated one"),
                    GateAction::Start { call } => {
                        running.push(call);
                        call
                    }
                };
                *end_counts.entry(call).or_default() += 1;
            }
            prop_assert!(running.len() <= SLOTS);
            let load = harness.gate.load(harness.now);
            prop_assert_eq!(load.slots_in_use as usize, running.len());
            prop_assert!(load.queued as usize <= MAX_QUEUED);
            prop_assert!(load.queued == 0 || running.len() == SLOTS);
            prop_assert!(end_counts.values().all(|&count| count == 1));
            prop_assert_eq!(end_counts.len() + load.queued as usize, usize::try_from(harness.next_call).unwrap());
        }
    }
}
