use medlarspool_calls::CallOutcome;
use medlarspool_proto::CallReply;

/// How one attempt ended: the reply for the caller, and the outcome as evidence about the upstream.
pub(crate) struct HopResult {
    pub(crate) outcome: CallOutcome,
    pub(crate) reply: CallReply,
}
