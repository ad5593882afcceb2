use std::sync::Arc;

use medlarspool_calls::{Refusal, RunOutcome, Slot};
use medlarspool_proto::CallReply;

/// What the gate's queue decided on a call.
pub(crate) enum QueueDecision {
    /// It is fenced and refused.
    Refused(Refusal),
    /// Its id arrived before; the first arrival decides.
    Repeated,
    /// It runs now and holds a slot.
    Start(Slot<Arc<CallReply>>),
}

impl QueueDecision {
    /// Gives back a slot that nobody came for; nothing was sent to the upstream.
    pub(crate) fn release_slot(self) {
        if let Self::Start(slot) = self {
            slot.finish(RunOutcome::NotSent);
        }
    }
}
