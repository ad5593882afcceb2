use std::{
    cmp::Reverse,
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use crate::{
    ArrivalLimiter, GateDecision, GateRequest, account_turns::AccountTurns,
    arrival_limiter::ENDLESS_WAIT, queued_request::QueuedRequest, recent_starts::RecentStarts,
};

/// The share of a target's time that calls of running requests get beside clients' requests that are as urgent or
/// more. Without it, those that are turned away waste the work of the targets that make them.
pub(crate) const CALL_SHARE: f64 = 0.4;

/// The most time that calls are given in advance of more urgent requests, for each slot; at least the time of one
/// call.
const MAX_CALL_CREDIT_PER_SLOT: Duration = Duration::from_millis(50);

/// The slots of one target and the queue of requests that wait for them.
///
/// The more urgent rank goes first. Within a rank, accounts share the time by deficit round robin, where the requests
/// without an account count as those of one more account. Within an account, requests that can still be answered
/// within their target latency go before those that can't, and each group is ordered by the latest on-time start.
/// Calls of running requests that wait beside other requests get [`CALL_SHARE`] of the time.
///
/// A request is refused on arrival, not after a wait, if the requests ahead of it take longer than it may
/// wait: a longer queue serves no more requests, it only makes all of them late. Requests that will arrive later and go
/// ahead count as well, by what started lately ([`RecentStarts`]). Of another account's requests, only
/// those are ahead that this account gets to start meanwhile, so a long queue of one account doesn't refuse others.
///
/// A limit that the target names holds for all requests together: one starts only when there are both a free slot and
/// an arrival that the limit allows.
#[derive(Clone, Debug)]
pub struct GateQueue {
    /// The run time that calls may take in advance of more urgent requests.
    call_credit: Duration,
    /// The limit that the target names.
    pub limiter: ArrivalLimiter,
    next_ticket: u64,
    recent_starts: RecentStarts,
    running_count: u32,
    running_expected_time: Duration,
    slots: u32,
    turns: AccountTurns,
    waiting: Vec<QueuedRequest>,
}

impl GateQueue {
    /// Creates the queue of a target that runs `slots` requests concurrently.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            call_credit: Duration::ZERO,
            limiter: ArrivalLimiter::default(),
            next_ticket: 1,
            recent_starts: RecentStarts::default(),
            running_count: 0,
            running_expected_time: Duration::ZERO,
            slots,
            turns: AccountTurns::default(),
            waiting: Vec::new(),
        }
    }

    /// Sets how many requests the target runs concurrently.
    pub const fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Starts a request in a free slot, queues it, or refuses it.
    ///
    /// It is refused if its expected wait exceeds `max_wait` or ends after its latest start. The expected wait comes from
    /// the running requests, the queued ones that go before it, and those that will arrive meanwhile and go before it.
    pub fn request_slot(
        &mut self,
        now: Instant,
        request: GateRequest,
        max_wait: Duration,
    ) -> GateDecision {
        if self.running_count < self.slots && self.waiting.is_empty() && self.limiter.try_take(now)
        {
            self.start(now, &request);
            return GateDecision::Start;
        }
        let share_left = 1.0 - self.recent_starts.share_ahead(now, self.slots, &request);
        let mut wait = self.wait_in_turn(now, &request).div_f64(share_left);
        if request.is_call {
            let is_call_ahead =
                |ahead: &GateRequest| ahead.is_call && goes_before(now, ahead, &request);
            wait = wait.min(self.wait_behind(now, CALL_SHARE, is_call_ahead));
        }
        if wait > max_wait || now + wait > request.latest_start {
            return GateDecision::Refuse {
                expected_wait: wait,
            };
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let turn = self.turns.join(request.rank, request.account.as_ref());
        self.waiting.push(QueuedRequest {
            request,
            ticket,
            turn,
        });
        GateDecision::Wait(ticket)
    }

    /// Removes the queued requests that won't start in time any more, since others went ahead of them; returns their
    /// tickets. Each of them would wait in vain, while its client could try another gate or come back.
    ///
    /// Requests of accounts stay: when they start follows from the turns of their accounts. A call of a running request
    /// that waits beside other requests gets [`CALL_SHARE`] of the time.
    pub fn remove_hopeless(&mut self, now: Instant) -> Vec<u64> {
        let mut removed = Vec::new();
        while let Some(last) = self.last_waiting(now) {
            let QueuedRequest {
                request, ticket, ..
            } = &self.waiting[last];
            if now + self.queued_wait(now, &self.waiting[last]) <= request.latest_start {
                break;
            }
            removed.push(*ticket);
            self.remove(last);
        }
        removed
    }

    /// Returns how long a queued request without an account still waits.
    fn queued_wait(&self, now: Instant, queued: &QueuedRequest) -> Duration {
        let key = order_key(now, queued);
        let (mut ahead, mut calls_ahead) = (Duration::ZERO, Duration::ZERO);
        for other in self.waiting.iter().filter(|it| order_key(now, it) < key) {
            let run_time = other.request.expected_run_time;
            ahead += run_time;
            if other.request.is_call {
                calls_ahead += run_time;
            }
        }
        let is_beside_others = ahead > calls_ahead;
        if queued.request.is_call && is_beside_others {
            ahead = ahead.min(calls_ahead.div_f64(CALL_SHARE));
        }
        let share_ahead = self
            .recent_starts
            .share_ahead(now, self.slots, &queued.request);
        self.slot_wait(ahead).div_f64(1.0 - share_ahead)
    }

    /// Returns the index of the queued request without an account that goes last.
    fn last_waiting(&self, now: Instant) -> Option<usize> {
        let waiting = self.waiting.iter().enumerate();
        waiting
            .filter(|(_, queued)| queued.request.account.is_none())
            .max_by_key(|(_, queued)| order_key(now, queued))
            .map(|(index, _)| index)
    }

    /// Returns how long a new request of this rank would wait, behind all queued ones that are as urgent or more;
    /// an hour if the target takes none.
    #[must_use]
    pub fn expected_wait(&self, now: Instant, rank: u32) -> Duration {
        self.wait_behind(now, 1.0, |request| request.rank <= rank)
    }

    /// Returns the expected wait for a start behind the running requests and those queued requests for which
    /// `is_ahead` returns true, if these get `share` of the time and of the arrivals that the limit allows.
    fn wait_behind(
        &self,
        now: Instant,
        share: f64,
        is_ahead: impl Fn(&GateRequest) -> bool,
    ) -> Duration {
        let (mut ahead, mut ahead_count) = (Duration::ZERO, 0.0);
        for queued in &self.waiting {
            if is_ahead(&queued.request) {
                ahead += queued.request.expected_run_time;
                ahead_count += 1.0;
            }
        }
        self.slot_wait(ahead.div_f64(share))
            .max(self.limiter.wait(now, ahead_count / share))
    }

    /// Returns how long a new request would wait behind the running requests and those queued ones that start before
    /// it in the order of [`Self::start_next`].
    fn wait_in_turn(&self, now: Instant, request: &GateRequest) -> Duration {
        let own_turn = self.turns.index_of(request.rank, request.account.as_ref());
        let (mut ahead, mut ahead_count) = (Duration::ZERO, 0.0);
        let mut own_ahead = Duration::ZERO;
        let mut others: Vec<(Duration, f64)> = Vec::new();
        for queued in &self.waiting {
            let run_time = queued.request.expected_run_time;
            let is_other_turn =
                queued.request.rank == request.rank && Some(queued.turn) != own_turn;
            if is_other_turn {
                others.resize(self.turns.len(), (Duration::ZERO, 0.0));
                let (time, count) = &mut others[queued.turn];
                *time += run_time;
                *count += 1.0;
            } else if goes_before(now, &queued.request, request) {
                ahead += run_time;
                ahead_count += 1.0;
                if queued.request.rank == request.rank {
                    own_ahead += run_time;
                }
            }
        }
        let own_time = own_ahead + request.expected_run_time;
        let lacking = own_turn.map_or(own_time, |turn| self.turns.lacking(turn, own_time));
        for (turn, (time, count)) in others.into_iter().enumerate() {
            let time_meanwhile = time.min(lacking + self.turns.deficit(turn));
            if !time_meanwhile.is_zero() {
                ahead += time_meanwhile;
                ahead_count += count * time_meanwhile.div_duration_f64(time);
            }
        }
        self.slot_wait(ahead)
            .max(self.limiter.wait(now, ahead_count))
    }

    /// Returns the expected wait for a slot behind the running requests and queued ones that take `ahead` together.
    fn slot_wait(&self, ahead: Duration) -> Duration {
        if self.slots == 0 {
            return ENDLESS_WAIT;
        }
        if self.running_count < self.slots && self.waiting.is_empty() {
            return Duration::ZERO;
        }
        // Running requests are half done on average; the first one to finish frees a slot.
        let mean_remaining = self.running_expected_time / 2 / self.running_count.max(1);
        ahead / self.slots + mean_remaining / self.slots
    }

    /// Frees the slot of a run that ended; `expected_run_time` is the time that was expected when it started.
    pub fn finish(&mut self, expected_run_time: Duration) {
        self.running_count = self.running_count.saturating_sub(1);
        self.running_expected_time = self.running_expected_time.saturating_sub(expected_run_time);
    }

    /// Undoes the start of a request that was not sent to the target.
    pub fn undo_start(&mut self, expected_run_time: Duration) {
        self.finish(expected_run_time);
        self.limiter.give_back();
    }

    /// Removes a queued request that was abandoned.
    pub fn cancel(&mut self, ticket: u64) {
        if let Some(index) = self.waiting.iter().position(|it| it.ticket == ticket) {
            self.remove(index);
        }
    }

    /// Removes all queued requests, since the target is gone; returns their tickets.
    pub fn clear(&mut self) -> Vec<u64> {
        self.turns.clear();
        self.waiting.drain(..).map(|queued| queued.ticket).collect()
    }

    /// Starts the next queued request if a slot is free and the limit allows it; returns its ticket and its expected
    /// run time.
    pub fn start_next(&mut self, now: Instant) -> Option<(u64, Duration)> {
        if self.running_count >= self.slots {
            return None;
        }
        let first = self.first_in_turn(now)?;
        if !self.limiter.try_take(now) {
            return None;
        }
        let first_request = &self.waiting[first].request;
        let first_rank = first_request.rank;
        let passed_over = |request: &GateRequest| request.is_call && request.rank >= first_rank;
        let index = match self.first_waiting(now, passed_over) {
            Some(call) if !first_request.is_call => self.share_slot(first, call),
            _ => first,
        };
        if index == first {
            // A call that is passed over uses the calls' share of the time instead of its turn.
            let QueuedRequest { request, turn, .. } = &self.waiting[first];
            self.turns.charge(*turn, request.expected_run_time);
        }
        let QueuedRequest {
            request, ticket, ..
        } = self.remove(index);
        self.start(now, &request);
        Some((ticket, request.expected_run_time))
    }

    /// Returns how long the limit alone holds back the next queued request; none if nothing waits, or a slot has to
    /// become free first.
    #[must_use]
    pub fn wait_for_arrival(&self, now: Instant) -> Option<Duration> {
        let has_slot_for_next = self.running_count < self.slots && !self.waiting.is_empty();
        has_slot_for_next.then(|| self.limiter.wait(now, 0.0))
    }

    /// Returns the index of the queued request that goes first: of the most urgent rank, the first one of the account
    /// that is the first to have earned its run time.
    fn first_in_turn(&self, now: Instant) -> Option<usize> {
        let ranks = self.waiting.iter().map(|queued| queued.request.rank);
        let rank = ranks.min()?;
        if self.turns.is_undivided(rank) {
            return self.first_waiting(now, |_| true);
        }
        let mut first_of_turns: Vec<Option<usize>> = vec![None; self.turns.len()];
        for (index, queued) in self.waiting.iter().enumerate() {
            let first = &mut first_of_turns[queued.turn];
            let goes_first = first
                .is_none_or(|first| order_key(now, queued) < order_key(now, &self.waiting[first]));
            if queued.request.rank == rank && goes_first {
                *first = Some(index);
            }
        }
        first_of_turns.into_iter().flatten().min_by_key(|index| {
            let queued = &self.waiting[*index];
            let run_time = queued.request.expected_run_time;
            (self.turns.lacking(queued.turn, run_time), queued.ticket)
        })
    }

    /// Returns the index of the queued request that goes first among those that `is_eligible`, whatever their
    /// accounts.
    fn first_waiting(
        &self,
        now: Instant,
        is_eligible: impl Fn(&GateRequest) -> bool,
    ) -> Option<usize> {
        let eligible = self.waiting.iter().enumerate();
        eligible
            .filter(|(_, queued)| is_eligible(&queued.request))
            .min_by_key(|(_, queued)| order_key(now, queued))
            .map(|(index, _)| index)
    }

    fn remove(&mut self, index: usize) -> QueuedRequest {
        let queued = self.waiting.remove(index);
        self.turns.leave(queued.turn);
        queued
    }

    /// Returns which of two queued requests gets a free slot: `other`, which goes first by its rank, or a call that
    /// was passed over for longer than its share.
    fn share_slot(&mut self, other: usize, call: usize) -> usize {
        let call_time = self.waiting[call].request.expected_run_time;
        if let Some(credit) = self.call_credit.checked_sub(call_time) {
            self.call_credit = credit;
            return call;
        }
        let other_time = self.waiting[other].request.expected_run_time;
        let credit = self.call_credit + other_time.mul_f64(CALL_SHARE / (1.0 - CALL_SHARE));
        let max_credit = (MAX_CALL_CREDIT_PER_SLOT * self.slots).max(call_time);
        self.call_credit = credit.min(max_credit);
        other
    }

    /// Returns the number of requests that occupy a slot.
    #[must_use]
    pub const fn running_count(&self) -> u32 {
        self.running_count
    }

    /// Returns the number of queued requests that are as urgent as this rank or more.
    #[must_use]
    pub fn waiting_count(&self, rank: u32) -> usize {
        let is_as_urgent = |queued: &&QueuedRequest| queued.request.rank <= rank;
        self.waiting.iter().filter(is_as_urgent).count()
    }

    /// Returns the number of queued calls of running requests.
    #[must_use]
    pub fn waiting_call_count(&self) -> usize {
        let calls = self.waiting.iter().filter(|queued| queued.request.is_call);
        calls.count()
    }

    /// Returns the accounts with the most queued requests, at most `max_count` of them, and the number of each.
    #[must_use]
    pub fn busiest_accounts(&self, max_count: usize) -> Vec<(Rc<str>, usize)> {
        let mut counts: HashMap<&Rc<str>, usize> = HashMap::new();
        for turn in self.turns.iter() {
            if let Some(account) = &turn.account {
                *counts.entry(account).or_default() += turn.waiting_count;
            }
        }
        let counts = counts.into_iter();
        let mut counts: Vec<_> = counts.map(|(name, count)| (name.clone(), count)).collect();
        counts.sort_by_cached_key(|(name, count)| (Reverse(*count), name.clone()));
        counts.truncate(max_count);
        counts
    }

    fn start(&mut self, now: Instant, request: &GateRequest) {
        self.running_count += 1;
        self.running_expected_time += request.expected_run_time;
        let mean_run_time = self.running_expected_time / self.running_count;
        self.recent_starts.record(now, request, mean_run_time);
    }
}

/// Returns a key by which queued requests are ordered, apart from their accounts' turns; the lowest one goes first.
fn order_key(now: Instant, queued: &QueuedRequest) -> ((u32, bool, Instant), u64) {
    (priority_key(now, &queued.request), queued.ticket)
}

/// Returns a key by which requests are ordered; the lowest one goes first.
fn priority_key(now: Instant, request: &GateRequest) -> (u32, bool, Instant) {
    (
        request.rank,
        request.is_late(now),
        request.latest_on_time_start,
    )
}

fn goes_before(now: Instant, ahead: &GateRequest, request: &GateRequest) -> bool {
    priority_key(now, ahead) <= priority_key(now, request)
}
