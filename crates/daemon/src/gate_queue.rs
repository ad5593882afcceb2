use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError, Weak},
    time::{Duration, Instant},
};

use medlarspool_calls::{
    CallSettings, ChannelId, FateQuestion, FateReply, GateAction, GateWork, LoadReport, Refusal,
    RefusalReason, RunOutcome, Slot,
};
use medlarspool_proto::CallReply;
use medlarspool_types::{CallId, Clock, Incarnation};
use tokio::sync::oneshot;

use crate::queue_decision::QueueDecision;

/// The retry delay given when a call's deadline passed in the queue.
const RETRY_AFTER: Duration = Duration::from_millis(50);

/// The call core's gate and the calls that wait for its decisions, behind one lock.
///
/// The lock is held only while a decision is made, never across a wait.
pub(crate) struct GateQueue {
    clock: Arc<dyn Clock>,
    self_ref: Weak<Self>,
    state: Mutex<State>,
}

/// The call core's gate, whose answers are whole replies.
type CoreGate = medlarspool_calls::Gate<Arc<CallReply>>;

struct State {
    gate: CoreGate,
    waiters: HashMap<CallId, oneshot::Sender<QueueDecision>>,
}

/// A call that waits for the queue's decision. Dropping it before the decision fences the call.
pub(crate) struct PendingCall {
    call: CallId,
    queue: Arc<GateQueue>,
    receiver: oneshot::Receiver<QueueDecision>,
    /// Whether the queue stored a sender for this call; it stores none for a repeated call.
    was_registered: bool,
}

impl GateQueue {
    pub(crate) fn new(
        settings: &CallSettings,
        incarnation: Incarnation,
        clock: Arc<dyn Clock>,
    ) -> Arc<Self> {
        let gate = medlarspool_calls::Gate::new(settings, 0, incarnation, clock.now());
        Arc::new_cyclic(|self_ref| Self {
            clock,
            self_ref: self_ref.clone(),
            state: Mutex::new(State {
                gate,
                waiters: HashMap::new(),
            }),
        })
    }

    /// Answers a question about a call's fate.
    pub(crate) fn ask(&self, question: &FateQuestion) -> FateReply<Arc<CallReply>> {
        self.lock().gate.ask(self.clock.now(), question)
    }

    pub(crate) fn close_channel(&self, channel: ChannelId) {
        self.lock().gate.close_channel(channel);
    }

    /// Refuses new calls from now on.
    pub(crate) fn drain(&self) {
        self.lock().gate.drain();
    }

    /// Returns whether [`Self::drain`] was called and no call waits or runs any more.
    pub(crate) fn is_drained(&self) -> bool {
        self.lock().gate.is_drained()
    }

    /// Registers a call that must claim its idempotency key first. It stays undecided until
    /// [`Self::offer_held`] or [`Self::refuse_held`], unless it is refused or repeated at once.
    pub(crate) fn hold(self: &Arc<Self>, work: &GateWork, channel: ChannelId) -> PendingCall {
        self.register(work.call, |gate, now, actions| {
            gate.hold(now, work, channel, actions);
        })
    }

    pub(crate) fn load(&self) -> LoadReport {
        self.lock().gate.load(self.clock.now())
    }

    pub(crate) fn open_channel(&self) -> ChannelId {
        self.lock().gate.open_channel()
    }

    /// Queues or starts a call that arrived over a channel, or refuses it.
    pub(crate) fn offer(self: &Arc<Self>, work: GateWork, channel: ChannelId) -> PendingCall {
        self.register(work.call, |gate, now, actions| {
            gate.offer(now, work, channel, actions);
        })
    }

    /// Queues or starts a call that [`Self::hold`] registered.
    pub(crate) fn offer_held(&self, work: GateWork) {
        self.apply(|gate, now, actions| gate.offer_held(now, work, actions));
    }

    /// Refuses a call that [`Self::hold`] registered, and fences it.
    pub(crate) fn refuse_held(&self, call: CallId, reason: RefusalReason) {
        self.apply(|gate, now, actions| gate.refuse_held(now, call, reason, actions));
    }

    /// Returns for how long a call has been running, or `None` if it is not.
    pub(crate) fn running_for(&self, call: CallId) -> Option<Duration> {
        self.lock().gate.running_for(self.clock.now(), call)
    }

    /// Sets how many requests the upstream runs at once, as it announced.
    pub(crate) fn set_slots(&self, slots: u32) {
        self.apply(|gate, now, actions| gate.set_slots(now, slots, actions));
    }

    /// Lets the gate decide and delivers the decisions.
    fn apply(&self, decide: impl FnOnce(&mut CoreGate, Instant, &mut Vec<GateAction>)) {
        let undelivered = {
            let mut state = self.lock();
            let mut actions = Vec::new();
            decide(&mut state.gate, self.clock.now(), &mut actions);
            self.deliver(&mut state, actions)
        };
        undelivered
            .into_iter()
            .for_each(QueueDecision::release_slot);
    }

    /// Sends each decision to the call that waits for it and returns the decisions that no call waits for.
    ///
    /// The slots of these must be released after the lock, because a release takes the lock again.
    fn deliver(&self, state: &mut State, actions: Vec<GateAction>) -> Vec<QueueDecision> {
        let mut undelivered = Vec::new();
        for action in actions {
            let (call, decision) = match action {
                GateAction::Refuse { call, refusal } => (call, QueueDecision::Refused(refusal)),
                GateAction::Repeated { call } => (call, QueueDecision::Repeated),
                GateAction::Start { call } => (call, QueueDecision::Start(self.slot(call))),
            };
            match state.waiters.remove(&call) {
                Some(waiter) => undelivered.extend(waiter.send(decision).err()),
                None => undelivered.push(decision),
            }
        }
        undelivered
    }

    /// Lets the gate decide on a call and registers it as waiting for the decision.
    ///
    /// A repeated call is not registered, so that the first call with its id keeps its own registration.
    fn register(
        self: &Arc<Self>,
        call: CallId,
        decide: impl FnOnce(&mut CoreGate, Instant, &mut Vec<GateAction>),
    ) -> PendingCall {
        let (sender, receiver) = oneshot::channel();
        let mut was_registered = true;
        let undelivered = {
            let mut state = self.lock();
            let mut actions = Vec::new();
            decide(&mut state.gate, self.clock.now(), &mut actions);
            let repeated = GateAction::Repeated { call };
            if actions.contains(&repeated) {
                actions.retain(|action| *action != repeated);
                was_registered = sender.send(QueueDecision::Repeated).is_err();
            } else {
                state.waiters.insert(call, sender);
            }
            self.deliver(&mut state, actions)
        };
        undelivered
            .into_iter()
            .for_each(QueueDecision::release_slot);
        PendingCall {
            call,
            queue: Arc::clone(self),
            receiver,
            was_registered,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the slot of a call that starts; the run's outcome is reported to the queue through it.
    fn slot(&self, call: CallId) -> Slot<Arc<CallReply>> {
        let self_ref = self.self_ref.clone();
        Slot::new(call, move |call, outcome| {
            if let Some(queue) = self_ref.upgrade() {
                queue.finish(call, outcome);
            }
        })
    }

    fn finish(&self, call: CallId, outcome: RunOutcome<Arc<CallReply>>) {
        self.apply(|gate, now, actions| gate.finish(now, call, outcome, actions));
    }

    /// Fences a call that still waits for its decision; does nothing if the decision is made.
    fn cancel(&self, call: CallId) {
        let mut state = self.lock();
        if state.waiters.remove(&call).is_some() {
            state.gate.cancel(call);
        }
    }

    /// Lets the gate refuse the calls whose deadline passed while they waited.
    fn wake(&self) {
        self.apply(CoreGate::wake);
    }
}

impl PendingCall {
    /// Waits for the decision for at most `max_wait`, after which the call is cancelled and refused.
    pub(crate) async fn decision(mut self, max_wait: Duration) -> QueueDecision {
        if let Ok(Ok(decision)) = tokio::time::timeout(max_wait, &mut self.receiver).await {
            return decision;
        }
        // Lets the gate refuse this call itself, with a retry delay that fits its load.
        self.queue.wake();
        if self.was_registered {
            self.queue.cancel(self.call);
        }
        self.receiver
            .try_recv()
            .unwrap_or_else(|_| deadline_passed())
    }

    /// Returns the decision if it is already made.
    pub(crate) fn try_decision(&mut self) -> Option<QueueDecision> {
        self.receiver.try_recv().ok()
    }
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        if self.was_registered {
            self.queue.cancel(self.call);
        }
        self.receiver.close();
        if let Ok(decision) = self.receiver.try_recv() {
            decision.release_slot();
        }
    }
}

fn deadline_passed() -> QueueDecision {
    QueueDecision::Refused(Refusal {
        reason: RefusalReason::DeadlineUnmeetable,
        retry_after: RETRY_AFTER,
    })
}
