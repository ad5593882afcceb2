use std::sync::Arc;

use medlarspool_calls::{Refusal, RunOutcome, Slot};
use medlarspool_proto::CallReply;

/// The gate queue's decision on a call.
pub(crate) enum QueueDecision {
    /// It is refused and fenced: if it arrives again, it is refused, too.
    Refused(Refusal),
    /// A call with its id arrived before; the fate of that one answers both.
    Repeated,
    /// It may run now and holds this slot.
    Start(Slot<Arc<CallReply>>),
}

impl QueueDecision {
    /// Releases the slot of a decision that nobody waits for; nothing was sent to the upstream.
    pub(crate) fn release_slot(self) {
        if let Self::Start(slot) = self {
            slot.finish(RunOutcome::NotSent);
        }
    }
}
