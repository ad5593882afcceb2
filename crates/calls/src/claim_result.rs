use medlarspool_types::CallId;

use crate::ClaimWriteOutcome;

/// How the write of one try's claim ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimResult {
    /// The try.
    pub attempt: CallId,
    /// The end.
    pub outcome: ClaimWriteOutcome,
}
