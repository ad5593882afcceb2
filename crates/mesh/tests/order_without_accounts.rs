//! The order at a gate in deployments without accounts, compared with a plain implementation of the order that the gate
//! had before there were accounts' shares.

use std::time::{Duration, Instant};

use medlarspool_mesh::{GateDecision, GateQueue, GateRequest};
use rstest::rstest;

/// The share of the time that calls get, and the time that they may get in advance for each slot.
const CALL_SHARE: f64 = 0.4;
const MAX_CALL_CREDIT_PER_SLOT: Duration = Duration::from_millis(50);

/// The time in which a start loses most of its weight for the expected waits, with runs of up to 120 ms, and the highest
/// share that the requests ahead are taken to use.
const FADE_TIME_S: f64 = 0.25;
const MAX_SHARE_AHEAD: f64 = 0.95;

/// How far expected waits may differ, which are computed in another order here.
const WAIT_TOLERANCE: Duration = Duration::from_micros(1);

const SLOTS: u32 = 4;

/// A request that started.
struct Start {
    at: Instant,
    is_call: bool,
    is_late: bool,
    rank: u32,
    time_s: f64,
}

/// The queue as it was before accounts had shares, without the limits that targets name.
struct FormerQueue {
    call_credit: Duration,
    next_ticket: u64,
    running_count: u32,
    running_expected_time: Duration,
    starts: Vec<Start>,
    waiting: Vec<(u64, GateRequest)>,
}

impl FormerQueue {
    fn request_slot(
        &mut self,
        now: Instant,
        request: GateRequest,
        max_wait: Duration,
    ) -> GateDecision {
        if self.running_count < SLOTS && self.waiting.is_empty() {
            self.start(now, &request);
            return GateDecision::Start;
        }
        let is_ahead = |ahead: &GateRequest| key(now, ahead) <= key(now, &request);
        let share_left = 1.0 - self.share_ahead(now, &request);
        let mut wait = self.wait_behind(1.0, is_ahead).div_f64(share_left);
        if request.is_call {
            wait = wait.min(self.wait_behind(CALL_SHARE, |it| it.is_call && is_ahead(it)));
        }
        if wait > max_wait || now + wait > request.latest_start {
            return GateDecision::Refuse {
                expected_wait: wait,
            };
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.waiting.push((ticket, request));
        GateDecision::Wait(ticket)
    }

    fn wait_behind(&self, share: f64, is_ahead: impl Fn(&GateRequest) -> bool) -> Duration {
        let ahead = self.waiting.iter().filter(|(_, it)| is_ahead(it));
        let ahead: Duration = ahead.map(|(_, it)| it.expected_run_time).sum();
        if self.running_count < SLOTS && self.waiting.is_empty() {
            return Duration::ZERO;
        }
        let mean_remaining = self.running_expected_time / 2 / self.running_count.max(1);
        ahead.div_f64(share) / SLOTS + mean_remaining / SLOTS
    }

    /// Returns the share of the slots' time that requests which go ahead of this one used lately.
    fn share_ahead(&self, now: Instant, request: &GateRequest) -> f64 {
        let weight =
            |start: &Start| start.time_s * (-(now - start.at).as_secs_f64() / FADE_TIME_S).exp();
        let is_late = request.latest_on_time_start < now;
        let is_ahead = |start: &&Start| (start.rank, start.is_late) < (request.rank, is_late);
        let total_s: f64 = self.starts.iter().map(weight).sum();
        let slots_s = total_s.max(FADE_TIME_S * f64::from(SLOTS));
        let share_of = |is_call: bool| {
            let ahead = self.starts.iter().filter(is_ahead);
            let ahead_s: f64 = ahead.filter(|it| it.is_call == is_call).map(weight).sum();
            ahead_s / slots_s
        };
        let mut others = share_of(false);
        if request.is_call {
            others = others.min(1.0 - CALL_SHARE);
        }
        (share_of(true) + others).min(MAX_SHARE_AHEAD)
    }

    fn finish(&mut self, expected_run_time: Duration) {
        self.running_count -= 1;
        self.running_expected_time -= expected_run_time;
    }

    fn start_next(&mut self, now: Instant) -> Option<(u64, Duration)> {
        if self.running_count >= SLOTS {
            return None;
        }
        let first = self.first_waiting(now, |_| true)?;
        let first_rank = self.waiting[first].1.rank;
        let index = match self.first_waiting(now, |it| it.is_call && it.rank >= first_rank) {
            Some(call) if !self.waiting[first].1.is_call => self.share_slot(first, call),
            _ => first,
        };
        let (ticket, request) = self.waiting.remove(index);
        self.start(now, &request);
        Some((ticket, request.expected_run_time))
    }

    fn first_waiting(
        &self,
        now: Instant,
        is_eligible: impl Fn(&GateRequest) -> bool,
    ) -> Option<usize> {
        let eligible = self
            .waiting
            .iter()
            .enumerate()
            .filter(|(_, it)| is_eligible(&it.1));
        eligible
            .min_by_key(|(_, (ticket, request))| (key(now, request), *ticket))
            .map(|(index, _)| index)
    }

    fn share_slot(&mut self, other: usize, call: usize) -> usize {
        let call_time = self.waiting[call].1.expected_run_time;
        if let Some(credit) = self.call_credit.checked_sub(call_time) {
            self.call_credit = credit;
            return call;
        }
        let other_time = self.waiting[other].1.expected_run_time;
        let credit = self.call_credit + other_time.mul_f64(CALL_SHARE / (1.0 - CALL_SHARE));
        self.call_credit = credit.min((MAX_CALL_CREDIT_PER_SLOT * SLOTS).max(call_time));
        other
    }

    fn start(&mut self, now: Instant, request: &GateRequest) {
        self.starts
            .retain(|start| (now - start.at).as_secs_f64() < 50.0 * FADE_TIME_S);
        self.starts.push(Start {
            at: now,
            is_call: request.is_call,
            is_late: request.latest_on_time_start < now,
            rank: request.rank,
            time_s: request.expected_run_time.as_secs_f64(),
        });
        self.running_count += 1;
        self.running_expected_time += request.expected_run_time;
    }
}

fn key(now: Instant, request: &GateRequest) -> (u32, bool, Instant) {
    let latest_on_time_start = request.latest_on_time_start;
    (
        request.rank,
        latest_on_time_start < now,
        latest_on_time_start,
    )
}

/// Guards against shares of accounts that change the order, the calls' share or the refusals where there are no
/// accounts: random requests, calls, cancellations and ends of runs have the same results as before.
#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn the_order_without_accounts_is_as_before(#[case] seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut now = Instant::now();
    let mut queue = GateQueue::new(SLOTS);
    let mut former = FormerQueue {
        call_credit: Duration::ZERO,
        next_ticket: 1,
        running_count: 0,
        running_expected_time: Duration::ZERO,
        starts: Vec::new(),
        waiting: Vec::new(),
    };
    let mut running: Vec<Duration> = Vec::new();
    let (mut started_count, mut refused_count, mut longest) = (0, 0, 0);
    for _ in 0..50_000 {
        now += Duration::from_micros(rng.u64(..8_000));
        match rng.u32(..20) {
            0 if !former.waiting.is_empty() => {
                let (ticket, _) = former.waiting.remove(rng.usize(..former.waiting.len()));
                queue.cancel(ticket);
            }
            1..=8 if !running.is_empty() => {
                let run_time = running.swap_remove(rng.usize(..running.len()));
                former.finish(run_time);
                queue.finish(run_time);
            }
            _ => {
                let run_time = Duration::from_millis(rng.u64(5..120));
                let on_time_wait = Duration::from_millis(rng.u64(..250));
                let request = GateRequest {
                    account: None,
                    expected_run_time: run_time,
                    is_call: rng.u32(..3) == 0,
                    latest_on_time_start: now + on_time_wait,
                    latest_start: now + on_time_wait + Duration::from_millis(rng.u64(..200)),
                    rank: rng.u32(..4),
                };
                let max_wait = Duration::from_millis(rng.u64(..1_000));
                let expected = former.request_slot(now, request.clone(), max_wait);
                let decision = queue.request_slot(now, request, max_wait);
                match (decision, expected) {
                    (
                        GateDecision::Refuse { expected_wait },
                        GateDecision::Refuse {
                            expected_wait: expected,
                        },
                    ) => assert!(expected_wait.abs_diff(expected) <= WAIT_TOLERANCE),
                    (decision, expected) => assert_eq!(decision, expected),
                }
                match expected {
                    GateDecision::Refuse { .. } => refused_count += 1,
                    GateDecision::Start => running.push(run_time),
                    GateDecision::Wait(_) => {}
                }
            }
        }
        longest = longest.max(former.waiting.len());
        let next = former.start_next(now);
        assert_eq!(queue.start_next(now), next);
        if let Some((_, run_time)) = next {
            started_count += 1;
            running.push(run_time);
        }
    }
    // Otherwise the comparison would show little.
    assert!(started_count > 5_000 && refused_count > 1_000 && longest > 10);
}
