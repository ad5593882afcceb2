use medlarspool_calls::CallOutcome;
use medlarspool_proto::CallReply;

/// How one try ended: what the caller may believe, and what it says of the upstream.
pub(crate) struct HopResult {
    pub(crate) outcome: CallOutcome,
    pub(crate) reply: CallReply,
}
