use std::sync::Arc;

use medlarspool_calls::{ClaimPolicy, Fate, RefusalReason};
use medlarspool_proto::CallReply;

/// How a try's way to its idempotency key's claim ended.
pub(crate) enum ClaimOutcome {
    /// The try holds the key and may run.
    Claimed(ClaimPolicy),
    /// An earlier try held the key; this is what came of it.
    Earlier(Fate<Arc<CallReply>>),
    /// The try must not run.
    Refused(RefusalReason),
}
