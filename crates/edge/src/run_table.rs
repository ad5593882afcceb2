use std::{
    cell::RefCell,
    collections::HashMap,
    time::{Duration, Instant},
};

use bytes::Bytes;
use tokio::sync::oneshot;

use crate::gate_reply::GateReply;

/// How long the end of a run is kept for an entry that lost its hop: longer than any deadline left.
const ENDED_RUN_RETENTION: Duration = Duration::from_secs(6);

/// How long an answer is kept, which takes more room: an entry that lost its hop asks at once.
const RESPONSE_RETENTION: Duration = Duration::from_secs(2);

/// The most runs kept.
const MAX_RUNS: usize = 4_096;

/// The requests at this gate that run at most once, for entries that lost the hop and ask.
#[derive(Default)]
pub(crate) struct RunTable {
    runs: RefCell<HashMap<Bytes, Run>>,
}

enum Run {
    Ended {
        ended_at: Instant,
        reply: Option<GateReply>,
    },
    Running(Vec<oneshot::Sender<GateReply>>),
}

/// What an entry that asks is told.
pub(crate) enum AttachResult {
    Ended(GateReply),
    NeverSeen,
    Running(oneshot::Receiver<GateReply>),
    Unavailable,
}

impl RunTable {
    /// Takes in a request; returns `false` if it came before or was fenced.
    pub(crate) fn begin(&self, id: &Bytes) -> bool {
        let mut runs = self.runs.borrow_mut();
        if runs.contains_key(id) {
            return false;
        }
        if runs.len() >= MAX_RUNS {
            sweep(&mut runs, Instant::now());
        }
        runs.insert(id.clone(), Run::Running(Vec::new()));
        true
    }

    /// Waits for the end of a run.
    pub(crate) fn wait(&self, id: &Bytes) -> Option<oneshot::Receiver<GateReply>> {
        let mut runs = self.runs.borrow_mut();
        let Some(Run::Running(waiters)) = runs.get_mut(id) else {
            return None;
        };
        let (sender, receiver) = oneshot::channel();
        waiters.push(sender);
        Some(receiver)
    }

    /// Takes in the end of a run; it goes to who waits last.
    ///
    /// A copy is kept: the connection on which it is sent may be lost already.
    pub(crate) fn end(&self, id: &Bytes, reply: GateReply) {
        let copy = reply.copy();
        let mut reply = Some(reply);
        let mut runs = self.runs.borrow_mut();
        if let Some(Run::Running(waiters)) = runs.remove(id) {
            for sender in waiters.into_iter().rev() {
                let Some(ready) = reply.take() else { break };
                reply = sender.send(ready).err();
            }
        }
        let reply = reply.or(copy);
        let ended_at = Instant::now();
        runs.insert(id.clone(), Run::Ended { ended_at, reply });
    }

    /// Answers an entry that lost its hop. A request that was never seen can't run any more then.
    pub(crate) fn attach(&self, id: &Bytes) -> AttachResult {
        if let Some(receiver) = self.wait(id) {
            return AttachResult::Running(receiver);
        }
        let mut runs = self.runs.borrow_mut();
        if let Some(Run::Ended { reply, .. }) = runs.get_mut(id) {
            return reply
                .take()
                .map_or(AttachResult::Unavailable, AttachResult::Ended);
        }
        let ended_at = Instant::now();
        runs.insert(
            id.clone(),
            Run::Ended {
                ended_at,
                reply: None,
            },
        );
        AttachResult::NeverSeen
    }

    /// Forgets what ended long ago.
    pub(crate) fn sweep(&self, now: Instant) {
        sweep(&mut self.runs.borrow_mut(), now);
    }
}

fn sweep(runs: &mut HashMap<Bytes, Run>, now: Instant) {
    runs.retain(|_, run| match run {
        Run::Ended { ended_at, reply } => {
            let age = now.saturating_duration_since(*ended_at);
            if age >= RESPONSE_RETENTION {
                *reply = None;
            }
            age < ENDED_RUN_RETENTION
        }
        Run::Running(_) => true,
    });
}
