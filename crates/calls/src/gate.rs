use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use medlarspool_types::{CallId, Incarnation};

use crate::{
    Arrival, CallSettings, ChannelId, DecayingMean, FairQueue, Fate, FateQuestion, FateReply,
    FateTable, GateAction, GateWork, LoadReport, Refusal, RefusalReason, RunOutcome,
};

/// The half-life of the mean run time while no run ends. Four mean run times are added to it; see
/// [`Gate::expected_run_time`].
const RUN_TIME_HALF_LIFE: Duration = Duration::from_secs(2);

/// The shortest delay after which a refused caller is asked to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Controls all access to one upstream: its slots, the queue for them and the fate of every call.
///
/// A call starts only through the queue and the [`FateTable`], so a refused call certainly did not
/// run. The daemon carries out each [`GateAction`], holds a [`crate::Slot`] for each started call and
/// calls [`Gate::wake`] at [`Gate::next_wakeup`].
#[derive(Debug)]
pub struct Gate<A> {
    draining: bool,
    fates: FateTable<A>,
    queue: FairQueue,
    run_time: DecayingMean,
    running: HashMap<CallId, Instant>,
    settings: CallSettings,
    slots: u32,
}

impl<A: Clone> Gate<A> {
    /// Makes the gate of an upstream with `slots` slots.
    #[must_use]
    pub fn new(
        settings: &CallSettings,
        slots: u32,
        incarnation: Incarnation,
        now: Instant,
    ) -> Self {
        Self {
            draining: false,
            fates: FateTable::new(settings, incarnation, now),
            queue: FairQueue::default(),
            run_time: DecayingMean::default(),
            running: HashMap::new(),
            settings: settings.clone(),
            slots,
        }
    }

    /// Opens a channel for a new connection from an entry.
    pub fn open_channel(&mut self) -> ChannelId {
        self.fates.open_channel()
    }

    /// Closes a channel whose connection ended.
    pub fn close_channel(&mut self, channel: ChannelId) {
        self.fates.close_channel(channel);
    }

    /// Sets the number of slots that the upstream announced; running calls are not stopped.
    pub fn set_slots(&mut self, now: Instant, slots: u32, actions: &mut Vec<GateAction>) {
        self.slots = slots;
        self.start_queued(now, actions);
    }

    /// Records a call that must obtain a claim before it is queued; [`Gate::offer_held`] or
    /// [`Gate::refuse_held`] must follow. Returns false if the call was refused or had arrived before,
    /// so that no claim is written in vain.
    pub fn hold(
        &mut self,
        now: Instant,
        work: &GateWork,
        channel: ChannelId,
        actions: &mut Vec<GateAction>,
    ) -> bool {
        let call = work.call;
        let reason = match self.fates.arrive(now, call, channel) {
            Arrival::ChannelClosed => Some(RefusalReason::ChannelClosed),
            Arrival::Fenced => Some(RefusalReason::Fenced),
            Arrival::Known => {
                actions.push(GateAction::Repeated { call });
                return false;
            }
            Arrival::New if self.draining => Some(RefusalReason::Draining),
            Arrival::New => self.refusal_reason(now, work),
        };
        match reason {
            Some(reason) => {
                actions.push(self.refuse(now, call, reason));
                false
            }
            None => true,
        }
    }

    /// Queues or starts a call that just arrived over `channel`.
    pub fn offer(
        &mut self,
        now: Instant,
        work: GateWork,
        channel: ChannelId,
        actions: &mut Vec<GateAction>,
    ) {
        if self.hold(now, &work, channel, actions) {
            self.enqueue(now, work, actions);
        }
    }

    /// Queues or starts a call that was held, unless it must be refused by now.
    pub fn offer_held(&mut self, now: Instant, work: GateWork, actions: &mut Vec<GateAction>) {
        match self.refusal_reason(now, &work) {
            Some(reason) => actions.push(self.refuse(now, work.call, reason)),
            None => self.enqueue(now, work, actions),
        }
    }

    /// Fences a held call and refuses it.
    pub fn refuse_held(
        &mut self,
        now: Instant,
        call: CallId,
        reason: RefusalReason,
        actions: &mut Vec<GateAction>,
    ) {
        actions.push(self.refuse(now, call, reason));
    }

    /// Cancels a call whose caller disconnected; returns whether it had not started, and so never
    /// will.
    pub fn cancel(&mut self, call: CallId) -> bool {
        self.queue.remove(call);
        self.fates.fence(call)
    }

    /// Records the end of a run and starts the next waiting call in its slot.
    pub fn finish(
        &mut self,
        now: Instant,
        call: CallId,
        outcome: RunOutcome<A>,
        actions: &mut Vec<GateAction>,
    ) {
        if let Some(started) = self.running.remove(&call) {
            if !matches!(outcome, RunOutcome::NotSent) {
                self.run_time
                    .record(now, now.saturating_duration_since(started));
            }
            self.fates.finish(now, call, outcome);
        }
        self.start_queued(now, actions);
    }

    /// Returns what became of a call; a waiting call that the question fenced leaves the queue.
    pub fn ask(&mut self, now: Instant, question: &FateQuestion) -> FateReply<A> {
        let reply = self.fates.ask(now, question);
        if matches!(reply.fate, Fate::NotRun) {
            self.queue.remove(question.call);
        }
        reply
    }

    /// Refuses new calls from now on; the calls that wait or run are finished.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Returns whether the gate drains and no call waits or runs any more.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.draining && self.queue.is_empty() && self.running.is_empty()
    }

    /// Refuses the calls whose deadline passed while they waited.
    pub fn wake(&mut self, now: Instant, actions: &mut Vec<GateAction>) {
        for work in self.queue.take_expired(now) {
            actions.push(self.refuse(now, work.call, RefusalReason::DeadlineUnmeetable));
        }
        self.fates.evict(now);
    }

    /// Returns when [`Gate::wake`] is due.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        self.queue.next_deadline()
    }

    /// Returns how long a call has been running, which is deducted from the time left to the calls
    /// that it makes.
    #[must_use]
    pub fn running_for(&self, now: Instant, call: CallId) -> Option<Duration> {
        let started = self.running.get(&call)?;
        Some(now.saturating_duration_since(*started))
    }

    /// Returns the load report that is sent with each answer.
    #[must_use]
    pub fn load(&self, now: Instant) -> LoadReport {
        LoadReport {
            mean_run_time: self.expected_run_time(now),
            queued: saturating_u32(self.queue.len()),
            slots: self.slots,
            slots_in_use: saturating_u32(self.running.len()),
        }
    }

    /// Returns the mean run time, decayed since the last run ended. The half-life grows with the mean,
    /// so that a mean of long runs, which end less often, decays more slowly.
    fn expected_run_time(&self, now: Instant) -> Duration {
        let half_life = RUN_TIME_HALF_LIFE + self.run_time.mean() * 4;
        self.run_time.decayed(now, half_life)
    }

    /// Returns how long a call is expected to wait for a slot with `ahead` waiting calls before it.
    fn expected_wait(&self, now: Instant, ahead: usize) -> Duration {
        let occupied = saturating_u32(self.running.len() + ahead);
        if occupied < self.slots {
            return Duration::ZERO;
        }
        let rounds = f64::from(occupied - self.slots + 1) / f64::from(self.slots.max(1));
        self.expected_run_time(now).mul_f64(rounds)
    }

    /// Returns why a request must be refused now, or `None` if it may be queued.
    ///
    /// It is refused if its deadline has passed or, while no slot is free, if its answer is expected after
    /// the deadline or if the queue is full and no other customer has a larger share of it.
    fn refusal_reason(&self, now: Instant, work: &GateWork) -> Option<RefusalReason> {
        if work.deadline <= now {
            return Some(RefusalReason::DeadlineUnmeetable);
        }
        if self.has_free_slot() {
            return None;
        }
        let ahead = self.queue.ahead_of(&work.customer, work.weight);
        let answered_at = now + self.expected_wait(now, ahead) + self.expected_run_time(now);
        if answered_at > work.deadline {
            return Some(RefusalReason::DeadlineUnmeetable);
        }
        let is_full = self.queue.len() >= self.settings.max_queued_requests;
        if is_full
            && !self
                .queue
                .has_larger_share_than(&work.customer, work.weight)
        {
            return Some(RefusalReason::QueueFull);
        }
        None
    }

    /// Adds a request to the queue; if the queue is full, the last request of the customer with the
    /// largest share is refused in its place.
    fn enqueue(&mut self, now: Instant, work: GateWork, actions: &mut Vec<GateAction>) {
        if self.queue.len() >= self.settings.max_queued_requests
            && let Some(displaced) = self.queue.displace_for(&work.customer, work.weight)
        {
            actions.push(self.refuse(now, displaced.call, RefusalReason::Displaced));
        }
        self.queue.push(work);
        self.start_queued(now, actions);
    }

    fn refuse(&mut self, now: Instant, call: CallId, reason: RefusalReason) -> GateAction {
        self.fates.fence(call);
        let expected_wait = self.expected_wait(now, self.queue.len());
        let refusal = Refusal {
            reason,
            retry_after: expected_wait.max(MIN_RETRY_AFTER),
        };
        GateAction::Refuse { call, refusal }
    }

    fn has_free_slot(&self) -> bool {
        saturating_u32(self.running.len()) < self.slots
    }

    /// Starts queued calls while slots are free; those that can't be answered in time are refused.
    fn start_queued(&mut self, now: Instant, actions: &mut Vec<GateAction>) {
        while self.has_free_slot() {
            let Some(work) = self.queue.pop() else {
                return;
            };
            if self.is_too_late(now, &work) {
                actions.push(self.refuse(now, work.call, RefusalReason::DeadlineUnmeetable));
            } else if self.fates.start(work.call) {
                self.running.insert(work.call, now);
                actions.push(GateAction::Start { call: work.call });
            } else {
                actions.push(self.refuse(now, work.call, RefusalReason::Fenced));
            }
        }
    }

    /// Returns whether a request is refused instead of started, because its deadline has passed or its
    /// answer is expected after it. The last waiting request is started in spite of the expectation,
    /// because no other request needs the slot and the estimate may be wrong.
    fn is_too_late(&self, now: Instant, work: &GateWork) -> bool {
        if work.deadline <= now {
            return true;
        }
        !self.queue.is_empty() && now + self.expected_run_time(now) > work.deadline
    }
}

fn saturating_u32(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
