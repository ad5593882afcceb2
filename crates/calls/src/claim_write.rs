use medlarspool_types::CallId;

use crate::{ClaimKey, ClaimRow};

/// One conditional write to a claim row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimWrite {
    /// Write `row`, if the row is absent or, with `replaces`, still held by that fenced try.
    Claim {
        /// The key.
        key: ClaimKey,
        /// The try whose row is replaced.
        replaces: Option<CallId>,
        /// The new row.
        row: ClaimRow,
    },
    /// Delete the row of a try that was refused, if that try still holds it. It is only a courtesy
    /// to the key's next use: if it is lost, the gate's fate table still says "not run".
    Release {
        /// The try.
        attempt: CallId,
        /// The key.
        key: ClaimKey,
    },
}

impl ClaimWrite {
    /// Returns the try that the write is made for.
    #[must_use]
    pub const fn attempt(&self) -> CallId {
        match self {
            Self::Claim { row, .. } => row.attempt,
            Self::Release { attempt, .. } => *attempt,
        }
    }
}
