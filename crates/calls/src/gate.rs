use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use medlarspool_types::{CallId, Incarnation};

use crate::{
    Arrival, CallSettings, ChannelId, FairQueue, Fate, FateQuestion, FateReply, FateTable,
    GateAction, GateWork, LoadReport, Refusal, RefusalReason, RunOutcome, ServiceTime,
};

/// How fast an unconfirmed run time is forgotten.
const RUN_TIME_HALF_LIFE: Duration = Duration::from_secs(2);

/// The shortest time after which a refused caller is asked to come back.
const RETRY_AFTER_SHORTEST: Duration = Duration::from_millis(50);

/// The one door to one upstream: its slots, the queue before them and the fate of every call.
///
/// Nothing starts but through the queue and the [`FateTable`], so a refusal is a fact. The edge
/// carries out each [`GateAction`], holds a [`crate::Slot`] for each start and calls
/// [`Gate::wake`] at [`Gate::next_wakeup`].
#[derive(Debug)]
pub struct Gate<A> {
    draining: bool,
    fates: FateTable<A>,
    queue: FairQueue,
    run_time: ServiceTime,
    running: HashMap<CallId, Instant>,
    settings: CallSettings,
    slots: u32,
}

impl<A: Clone> Gate<A> {
    /// Makes the gate of an upstream with `slots` slots.
    #[must_use]
    pub fn new(settings: &CallSettings, slots: u32, life: Incarnation, now: Instant) -> Self {
        Self {
            draining: false,
            fates: FateTable::new(settings, life, now),
            queue: FairQueue::default(),
            run_time: ServiceTime::default(),
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

    /// Changes the number of slots, as the upstream announced; runs under way are not stopped.
    pub fn set_slots(&mut self, now: Instant, slots: u32, actions: &mut Vec<GateAction>) {
        self.slots = slots;
        self.start_waiting(now, actions);
    }

    /// Takes in a call that first needs a claim; [`Gate::offer_held`] or [`Gate::refuse_held`]
    /// follows. Returns false if the call was refused, so that no claim is written for nothing.
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
            Arrival::New => self.reason_to_refuse(now, work),
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

    /// Queues or starts a call that was held.
    pub fn offer_held(&mut self, now: Instant, work: GateWork, actions: &mut Vec<GateAction>) {
        match self.reason_to_refuse(now, &work) {
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

    /// Takes back a call whose caller is gone; returns whether it had not started and never will.
    pub fn cancel(&mut self, call: CallId) -> bool {
        self.queue.remove(call);
        self.fates.fence(call)
    }

    /// Records the end of a run and hands its slot to the next.
    pub fn finish(
        &mut self,
        now: Instant,
        call: CallId,
        end: RunOutcome<A>,
        actions: &mut Vec<GateAction>,
    ) {
        if let Some(started) = self.running.remove(&call) {
            if !matches!(end, RunOutcome::NotSent) {
                self.run_time
                    .record(now, now.saturating_duration_since(started));
            }
            self.fates.finish(now, call, end);
        }
        self.start_waiting(now, actions);
    }

    /// Tells what became of a call; a settled call that waited leaves the queue fenced.
    pub fn ask(&mut self, now: Instant, question: &FateQuestion) -> FateReply<A> {
        let reply = self.fates.ask(now, question);
        if matches!(reply.fate, Fate::NotRun) {
            self.queue.remove(question.call);
        }
        reply
    }

    /// Takes no new work from now on; what waits or runs is finished.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Returns whether a drain was asked for and nothing waits or runs any more.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        self.draining && self.queue.is_empty() && self.running.is_empty()
    }

    /// Refuses those whose deadline passed while they waited.
    pub fn wake(&mut self, now: Instant, actions: &mut Vec<GateAction>) {
        for work in self.queue.take_expired(now) {
            actions.push(self.refuse(now, work.call, RefusalReason::DeadlineUnmeetable));
        }
        self.fates.forget(now);
    }

    /// Returns when [`Gate::wake`] is due.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        self.queue.next_deadline()
    }

    /// Returns for how long a call has been running, to take it off the deadline of calls it makes.
    #[must_use]
    pub fn running_for(&self, now: Instant, call: CallId) -> Option<Duration> {
        let started = self.running.get(&call)?;
        Some(now.saturating_duration_since(*started))
    }

    /// Returns the load that rides on each answer.
    #[must_use]
    pub fn load(&self, now: Instant) -> LoadReport {
        LoadReport {
            queued: count(self.queue.len()),
            run_time: self.expected_run(now),
            slots: self.slots,
            slots_in_use: count(self.running.len()),
        }
    }

    fn expected_run(&self, now: Instant) -> Duration {
        let half_life = RUN_TIME_HALF_LIFE + self.run_time.mean() * 4;
        self.run_time.decayed(now, half_life)
    }

    fn expected_wait(&self, now: Instant, ahead: usize) -> Duration {
        let busy = count(self.running.len() + ahead);
        if busy < self.slots {
            return Duration::ZERO;
        }
        let turns = f64::from(busy - self.slots + 1) / f64::from(self.slots.max(1));
        self.expected_run(now).mul_f64(turns)
    }

    fn reason_to_refuse(&self, now: Instant, work: &GateWork) -> Option<RefusalReason> {
        if work.deadline <= now {
            return Some(RefusalReason::DeadlineUnmeetable);
        }
        if self.has_free_slot() {
            return None;
        }
        let ahead = self.queue.ahead_of(&work.customer, work.weight);
        let answered = now + self.expected_wait(now, ahead) + self.expected_run(now);
        if answered > work.deadline {
            return Some(RefusalReason::DeadlineUnmeetable);
        }
        let full = self.queue.len() >= self.settings.max_queued_requests;
        if full
            && !self
                .queue
                .has_larger_share_than(&work.customer, work.weight)
        {
            return Some(RefusalReason::QueueFull);
        }
        None
    }

    /// Adds a request to the queue; when it is full, another customer's last one gives way.
    fn enqueue(&mut self, now: Instant, work: GateWork, actions: &mut Vec<GateAction>) {
        if self.queue.len() >= self.settings.max_queued_requests
            && let Some(displaced) = self.queue.displace_for(&work.customer, work.weight)
        {
            actions.push(self.refuse(now, displaced.call, RefusalReason::Displaced));
        }
        self.queue.push(work);
        self.start_waiting(now, actions);
    }

    fn refuse(&mut self, now: Instant, call: CallId, reason: RefusalReason) -> GateAction {
        self.fates.fence(call);
        let wait = self.expected_wait(now, self.queue.len());
        let refusal = Refusal {
            reason,
            retry_after: wait.max(RETRY_AFTER_SHORTEST),
        };
        GateAction::Refuse { call, refusal }
    }

    fn has_free_slot(&self) -> bool {
        count(self.running.len()) < self.slots
    }

    fn start_waiting(&mut self, now: Instant, actions: &mut Vec<GateAction>) {
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

    /// The last waiting request is tried even if it will hardly make it: there is nothing better
    /// to do with the slot, and the estimate may be wrong.
    fn is_too_late(&self, now: Instant, work: &GateWork) -> bool {
        if work.deadline <= now {
            return true;
        }
        !self.queue.is_empty() && now + self.expected_run(now) > work.deadline
    }
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
