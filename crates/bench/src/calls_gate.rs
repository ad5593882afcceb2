use std::{
    collections::{HashSet, VecDeque},
    time::{Duration, Instant},
};

use medlarspool_calls::{
    CallSettings, ChannelId, Gate, GateAction, GateWork, LoadReport, Refusal, RefusalReason,
    RunOutcome,
};
use medlarspool_types::{CallId, Incarnation};

use crate::QueuePolicy;

/// A gate in the model: the daemon's own, or a plain FIFO queue as its baseline.
#[derive(Debug)]
pub enum CallsGate {
    /// The daemon's gate.
    Fair {
        /// The channel over which all entries send.
        channel: ChannelId,
        /// The gate as the daemon runs it, without answers because the model has none.
        gate: Box<Gate<()>>,
    },
    /// First in, first out, without deadlines or cancellation.
    Fifo {
        /// The maximum number of waiting calls; further calls are refused.
        max_waiting: usize,
        /// The calls that run, each in one slot.
        running: HashSet<CallId>,
        /// The maximum number of calls that run at once.
        slots: usize,
        /// The calls that wait for a slot.
        waiting: VecDeque<CallId>,
    },
}

impl CallsGate {
    /// Makes the gate of an upstream.
    #[must_use]
    pub fn new(policy: QueuePolicy, settings: &CallSettings, slots: u32, now: Instant) -> Self {
        match policy {
            QueuePolicy::Fair => {
                let mut gate = Box::new(Gate::new(settings, slots, Incarnation(1), now));
                let channel = gate.open_channel();
                Self::Fair { channel, gate }
            }
            QueuePolicy::Fifo => Self::Fifo {
                max_waiting: settings.max_queued_requests,
                running: HashSet::new(),
                slots: slots as usize,
                waiting: VecDeque::new(),
            },
        }
    }

    /// Queues, starts or refuses a call that just arrived.
    pub fn offer(&mut self, now: Instant, work: GateWork, actions: &mut Vec<GateAction>) {
        match self {
            Self::Fair { channel, gate } => gate.offer(now, work, *channel, actions),
            Self::Fifo {
                max_waiting,
                waiting,
                ..
            } if waiting.len() >= *max_waiting => {
                let refusal = Refusal {
                    reason: RefusalReason::QueueFull,
                    retry_after: Duration::ZERO,
                };
                let call = work.call;
                actions.push(GateAction::Refuse { call, refusal });
            }
            Self::Fifo { waiting, .. } => {
                waiting.push_back(work.call);
                self.start_waiting(actions);
            }
        }
    }

    /// Records the end of a run and starts the next waiting call in its slot.
    pub fn finish(&mut self, now: Instant, call: CallId, actions: &mut Vec<GateAction>) {
        match self {
            Self::Fair { gate, .. } => {
                let end = RunOutcome::Answered {
                    answer: (),
                    answer_bytes: 1,
                };
                gate.finish(now, call, end, actions);
            }
            Self::Fifo { running, .. } => {
                running.remove(&call);
                self.start_waiting(actions);
            }
        }
    }

    /// Cancels a call whose caller no longer waits. The FIFO gate ignores this and runs the call anyway.
    pub fn cancel(&mut self, call: CallId) {
        if let Self::Fair { gate, .. } = self {
            gate.cancel(call);
        }
    }

    /// Lets the daemon's gate refuse the calls whose deadline passed while they waited; the FIFO gate ignores
    /// deadlines.
    pub fn wake(&mut self, now: Instant, actions: &mut Vec<GateAction>) {
        if let Self::Fair { gate, .. } = self {
            gate.wake(now, actions);
        }
    }

    /// Returns the load report that is sent with each answer.
    #[must_use]
    pub fn load(&self, now: Instant) -> LoadReport {
        match self {
            Self::Fair { gate, .. } => gate.load(now),
            Self::Fifo {
                running,
                slots,
                waiting,
                ..
            } => LoadReport {
                queued: count(waiting.len()),
                mean_run_time: Duration::ZERO,
                slots: count(*slots),
                slots_in_use: count(running.len()),
            },
        }
    }

    /// Starts the calls that have waited longest at the FIFO gate in its free slots.
    fn start_waiting(&mut self, actions: &mut Vec<GateAction>) {
        let Self::Fifo {
            running,
            slots,
            waiting,
            ..
        } = self
        else {
            return;
        };
        while running.len() < *slots {
            let Some(call) = waiting.pop_front() else {
                return;
            };
            running.insert(call);
            actions.push(GateAction::Start { call });
        }
    }
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
