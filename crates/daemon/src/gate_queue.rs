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

/// When a caller whose deadline passed in the queue may usefully come back.
const RETRY_AFTER: Duration = Duration::from_millis(50);

/// The gate's decisions behind one lock, with those who wait for their turn.
///
/// The lock is held for the decision alone, never while anything is waited for.
pub(crate) struct GateQueue {
    clock: Arc<dyn Clock>,
    me: Weak<Self>,
    state: Mutex<State>,
}

/// The call core's gate, whose answers are whole replies.
type CoreGate = medlarspool_calls::Gate<Arc<CallReply>>;

struct State {
    gate: CoreGate,
    turns: HashMap<CallId, oneshot::Sender<QueueDecision>>,
}

/// A call's place in the queue; dropping it before its turn fences the call.
pub(crate) struct PendingCall {
    call: CallId,
    queue: Arc<GateQueue>,
    turn: oneshot::Receiver<QueueDecision>,
    waits: bool,
}

impl GateQueue {
    pub(crate) fn new(
        settings: &CallSettings,
        life: Incarnation,
        clock: Arc<dyn Clock>,
    ) -> Arc<Self> {
        let gate = medlarspool_calls::Gate::new(settings, 0, life, clock.now());
        Arc::new_cyclic(|me| Self {
            clock,
            me: me.clone(),
            state: Mutex::new(State {
                gate,
                turns: HashMap::new(),
            }),
        })
    }

    /// Tells what became of a call.
    pub(crate) fn ask(&self, question: &FateQuestion) -> FateReply<Arc<CallReply>> {
        self.lock().gate.ask(self.clock.now(), question)
    }

    pub(crate) fn close_channel(&self, channel: ChannelId) {
        self.lock().gate.close_channel(channel);
    }

    /// Takes no new calls from now on.
    pub(crate) fn drain(&self) {
        self.lock().gate.drain();
    }

    /// Returns whether a drain was asked for and nothing waits or runs any more.
    pub(crate) fn is_drained(&self) -> bool {
        self.lock().gate.is_drained()
    }

    /// Takes in a call that first needs a claim, as undecided unless it is refused or repeated.
    pub(crate) fn hold(self: &Arc<Self>, work: &GateWork, channel: ChannelId) -> PendingCall {
        self.enter(work.call, |gate, now, actions| {
            gate.hold(now, work, channel, actions);
        })
    }

    pub(crate) fn load(&self) -> LoadReport {
        self.lock().gate.load(self.clock.now())
    }

    pub(crate) fn open_channel(&self) -> ChannelId {
        self.lock().gate.open_channel()
    }

    /// Takes in a call that just arrived over a channel.
    pub(crate) fn offer(self: &Arc<Self>, work: GateWork, channel: ChannelId) -> PendingCall {
        self.enter(work.call, |gate, now, actions| {
            gate.offer(now, work, channel, actions);
        })
    }

    /// Queues or starts a call that was held.
    pub(crate) fn offer_held(&self, work: GateWork) {
        self.act(|gate, now, actions| gate.offer_held(now, work, actions));
    }

    /// Fences a held call and refuses it.
    pub(crate) fn refuse_held(&self, call: CallId, reason: RefusalReason) {
        self.act(|gate, now, actions| gate.refuse_held(now, call, reason, actions));
    }

    /// Returns for how long a call has been running.
    pub(crate) fn running_for(&self, call: CallId) -> Option<Duration> {
        self.lock().gate.running_for(self.clock.now(), call)
    }

    /// Takes in how many slots the upstream announced.
    pub(crate) fn set_slots(&self, slots: u32) {
        self.act(|gate, now, actions| gate.set_slots(now, slots, actions));
    }

    fn act(&self, decide: impl FnOnce(&mut CoreGate, Instant, &mut Vec<GateAction>)) {
        let undelivered = {
            let mut state = self.lock();
            let mut actions = Vec::new();
            decide(&mut state.gate, self.clock.now(), &mut actions);
            self.deliver(&mut state, actions)
        };
        undelivered.into_iter().for_each(QueueDecision::give_back);
    }

    /// Hands each decision to whoever waits for it and returns those that nobody waits for.
    fn deliver(&self, state: &mut State, actions: Vec<GateAction>) -> Vec<QueueDecision> {
        let mut undelivered = Vec::new();
        for action in actions {
            let (call, turn) = match action {
                GateAction::Refuse { call, refusal } => (call, QueueDecision::Refused(refusal)),
                GateAction::Repeated { call } => (call, QueueDecision::Repeated),
                GateAction::Start { call } => (call, QueueDecision::Start(self.slot(call))),
            };
            match state.turns.remove(&call) {
                Some(waiting) => undelivered.extend(waiting.send(turn).err()),
                None => undelivered.push(turn),
            }
        }
        undelivered
    }

    /// Lets the gate decide on a call and returns its place; a repeated call gets one of its own.
    fn enter(
        self: &Arc<Self>,
        call: CallId,
        decide: impl FnOnce(&mut CoreGate, Instant, &mut Vec<GateAction>),
    ) -> PendingCall {
        let (sender, turn) = oneshot::channel();
        let mut waits = true;
        let undelivered = {
            let mut state = self.lock();
            let mut actions = Vec::new();
            decide(&mut state.gate, self.clock.now(), &mut actions);
            let repeated = GateAction::Repeated { call };
            if actions.contains(&repeated) {
                actions.retain(|action| *action != repeated);
                waits = sender.send(QueueDecision::Repeated).is_err();
            } else {
                state.turns.insert(call, sender);
            }
            self.deliver(&mut state, actions)
        };
        undelivered.into_iter().for_each(QueueDecision::give_back);
        PendingCall {
            call,
            queue: Arc::clone(self),
            turn,
            waits,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn slot(&self, call: CallId) -> Slot<Arc<CallReply>> {
        let me = self.me.clone();
        Slot::new(call, move |call, end| {
            if let Some(queue) = me.upgrade() {
                queue.finish(call, end);
            }
        })
    }

    fn finish(&self, call: CallId, end: RunOutcome<Arc<CallReply>>) {
        self.act(|gate, now, actions| gate.finish(now, call, end, actions));
    }

    fn leave(&self, call: CallId) {
        let mut state = self.lock();
        if state.turns.remove(&call).is_some() {
            state.gate.cancel(call);
        }
    }

    fn wake(&self) {
        self.act(CoreGate::wake);
    }
}

impl PendingCall {
    /// Waits for the call's turn, at the latest until its deadline.
    pub(crate) async fn turn(mut self, wait: Duration) -> QueueDecision {
        if let Ok(Ok(turn)) = tokio::time::timeout(wait, &mut self.turn).await {
            return turn;
        }
        self.queue.wake();
        if self.waits {
            self.queue.leave(self.call);
        }
        self.turn.try_recv().unwrap_or_else(|_| expired())
    }

    /// Returns the call's turn if it is already decided.
    pub(crate) fn try_turn(&mut self) -> Option<QueueDecision> {
        self.turn.try_recv().ok()
    }
}

impl Drop for PendingCall {
    fn drop(&mut self) {
        if self.waits {
            self.queue.leave(self.call);
        }
        self.turn.close();
        if let Ok(turn) = self.turn.try_recv() {
            turn.give_back();
        }
    }
}

fn expired() -> QueueDecision {
    QueueDecision::Refused(Refusal {
        reason: RefusalReason::DeadlineUnmeetable,
        retry_after: RETRY_AFTER,
    })
}
