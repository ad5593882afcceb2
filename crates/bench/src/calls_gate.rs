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

/// A gate in the model: the daemon's own, or the simplest one.
#[derive(Debug)]
pub enum CallsGate {
    /// The daemon's own.
    Fair {
        /// The channel that all entries send over.
        channel: ChannelId,
        /// The gate.
        gate: Box<Gate<()>>,
    },
    /// First come, first served.
    Fifo {
        /// The most that wait.
        bound: usize,
        /// Those that hold a slot.
        running: HashSet<CallId>,
        /// The slots.
        slots: usize,
        /// Those that wait.
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
                bound: settings.max_queued_requests,
                running: HashSet::new(),
                slots: slots as usize,
                waiting: VecDeque::new(),
            },
        }
    }

    /// Takes in a call.
    pub fn offer(&mut self, now: Instant, work: GateWork, actions: &mut Vec<GateAction>) {
        match self {
            Self::Fair { channel, gate } => gate.offer(now, work, *channel, actions),
            Self::Fifo { bound, waiting, .. } if waiting.len() >= *bound => {
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

    /// Ends a run.
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

    /// Takes back a call whose caller is gone. The simplest gate knows no such thing.
    pub fn cancel(&mut self, call: CallId) {
        if let Self::Fair { gate, .. } = self {
            gate.cancel(call);
        }
    }

    /// Lets the gate refuse what is past its deadline.
    pub fn wake(&mut self, now: Instant, actions: &mut Vec<GateAction>) {
        if let Self::Fair { gate, .. } = self {
            gate.wake(now, actions);
        }
    }

    /// Returns the load that rides on answers.
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
                run_time: Duration::ZERO,
                slots: count(*slots),
                slots_in_use: count(running.len()),
            },
        }
    }

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
