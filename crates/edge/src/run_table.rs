use std::{
    cell::RefCell,
    collections::HashMap,
    time::{Duration, Instant},
};

use tokio::sync::oneshot;

use crate::{gate_reply::GateReply, run_key::RunKey};

/// How long an ended run is retained for an entry that lost its hop: longer than the remaining time to any
/// deadline.
const ENDED_RUN_RETENTION: Duration = Duration::from_secs(6);

/// How long the reply of an ended run is retained. It is shorter, since replies take more memory and an entry
/// that lost its hop asks at once.
const REPLY_RETENTION: Duration = Duration::from_secs(2);

/// If the table has this many runs, expired ones are removed before another is added.
const SWEEP_THRESHOLD: usize = 4_096;

/// The at-most-once requests at this gate, for entries that lost their hop and ask for the outcome.
#[derive(Default)]
pub(crate) struct RunTable {
    runs: RefCell<HashMap<RunKey, Run>>,
}

enum Run {
    /// The run ended, or the request was fenced. The reply is gone once it was delivered or has expired.
    Ended {
        ended_at: Instant,
        reply: Option<GateReply>,
    },
    /// The run goes on or waits for a slot; the senders belong to those who wait for its reply.
    Running(Vec<oneshot::Sender<GateReply>>),
}

/// What is known of a request whose outcome an entry asks for.
pub(crate) enum AttachResult {
    Ended(GateReply),
    /// The request never arrived; it is now fenced.
    NeverSeen,
    Running(oneshot::Receiver<GateReply>),
    /// The run ended, but its reply was delivered before or has expired.
    Unavailable,
}

impl RunTable {
    /// Adds a request; returns `false` if it arrived before or was fenced by [`RunTable::attach`].
    pub(crate) fn begin(&self, key: &RunKey) -> bool {
        if self.runs.borrow().contains_key(key) {
            return false;
        }
        if self.runs.borrow().len() >= SWEEP_THRESHOLD {
            self.sweep(Instant::now());
        }
        let run = Run::Running(Vec::new());
        self.runs.borrow_mut().insert(key.clone(), run);
        true
    }

    /// Returns a receiver of a run's reply, or `None` if the request neither waits for a slot nor runs.
    pub(crate) fn subscribe(&self, key: &RunKey) -> Option<oneshot::Receiver<GateReply>> {
        let mut runs = self.runs.borrow_mut();
        let Some(Run::Running(waiters)) = runs.get_mut(key) else {
            return None;
        };
        let (sender, receiver) = oneshot::channel();
        waiters.push(sender);
        Some(receiver)
    }

    /// Records the end of a run and sends the reply to all waiters, since the connection of each one may be lost already.
    ///
    /// For the same reason it is retained. A reply whose body is streamed goes only to the latest waiter that is still
    /// there, and is retained only if nobody waits for it; it gives back the slot of its run.
    pub(crate) fn end(&self, key: &RunKey, reply: GateReply) {
        let ended = Run::Ended {
            ended_at: Instant::now(),
            reply: None,
        };
        let known = self.runs.borrow_mut().insert(key.clone(), ended);
        let mut retained = Some(reply);
        if let Some(Run::Running(waiters)) = known {
            for sender in waiters.into_iter().rev() {
                let Some(reply) = retained.take() else { break };
                retained = match reply.copy() {
                    Some(copy) => {
                        // An error means that nobody waits on this connection any more.
                        let _ = sender.send(copy);
                        Some(reply)
                    }
                    None => sender.send(reply).err(),
                };
            }
        }
        if let Some(reply) = &mut retained {
            // This may run timers, one of which sweeps the table, so the table isn't borrowed here.
            reply.release_guards();
        }
        if let Some(Run::Ended { reply, .. }) = self.runs.borrow_mut().get_mut(key) {
            *reply = retained;
        }
    }

    /// Returns what is known of a request whose hop was lost. A request that never arrived is fenced: it can't
    /// run any more.
    pub(crate) fn attach(&self, key: &RunKey) -> AttachResult {
        if let Some(receiver) = self.subscribe(key) {
            return AttachResult::Running(receiver);
        }
        let mut runs = self.runs.borrow_mut();
        if let Some(Run::Ended { reply, .. }) = runs.get_mut(key) {
            let copy = reply.as_ref().and_then(GateReply::copy);
            let told = copy.or_else(|| reply.take());
            return told.map_or(AttachResult::Unavailable, AttachResult::Ended);
        }
        let ended_at = Instant::now();
        runs.insert(
            key.clone(),
            Run::Ended {
                ended_at,
                reply: None,
            },
        );
        AttachResult::NeverSeen
    }

    /// Removes expired replies and runs.
    pub(crate) fn sweep(&self, now: Instant) {
        let mut expired_replies = Vec::new();
        self.runs.borrow_mut().retain(|_, run| match run {
            Run::Ended { ended_at, reply } => {
                let age = now.saturating_duration_since(*ended_at);
                let is_cut_off = reply
                    .as_ref()
                    .is_some_and(|reply| reply.is_past_deadline(now));
                if age >= REPLY_RETENTION || is_cut_off {
                    expired_replies.extend(reply.take());
                }
                age < ENDED_RUN_RETENTION
            }
            Run::Running(_) => true,
        });
        // The replies are dropped here, where the table isn't borrowed any more.
    }
}
