use medlarspool_types::CallId;

use crate::ClaimWriteOutcome;

/// The outcome of the claim write of one attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimResult {
    /// The attempt that the write was made for.
    pub attempt: CallId,
    /// How its write ended.
    pub outcome: ClaimWriteOutcome,
}
