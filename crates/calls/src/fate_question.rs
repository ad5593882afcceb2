use medlarspool_types::CallId;

use crate::{ChannelId, QuestionKind};

/// Asks a gate what became of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FateQuestion {
    /// The call.
    pub call: CallId,
    /// The channel over which the call was sent; [`QuestionKind::Settle`] closes it.
    pub channel: ChannelId,
    /// Whether the gate stops the call if it has not started.
    pub kind: QuestionKind,
}
