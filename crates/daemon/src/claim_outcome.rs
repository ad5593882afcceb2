use std::sync::Arc;

use medlarspool_calls::{ClaimPolicy, Fate, RefusalReason};
use medlarspool_proto::CallReply;

/// How an attempt to claim an idempotency key ended.
pub(crate) enum ClaimOutcome {
    /// This attempt holds the key and may run.
    Claimed(ClaimPolicy),
    /// An earlier attempt holds the key; this is its fate.
    Earlier(Fate<Arc<CallReply>>),
    /// The key can't be claimed, for this reason, so this attempt must not run.
    Refused(RefusalReason),
}
