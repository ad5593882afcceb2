use medlarspool_types::CallId;

use crate::{ChannelId, QuestionKind};

/// Asks a gate what became of a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FateQuestion {
    /// The call.
    pub call: CallId,
    /// The channel over which the call was sent; settling closes it.
    pub channel: ChannelId,
    /// Whether the question may stop the call.
    pub kind: QuestionKind,
}
