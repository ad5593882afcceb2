use std::time::Duration;

use crate::GiveUpReason;

/// What to do after a failed try.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Answer the caller at once; nothing is gained by holding the answer back.
    GiveUp {
        /// Why.
        reason: GiveUpReason,
        /// When the caller may usefully come back.
        retry_after: Duration,
    },
    /// Try again, at another upstream if there is one, with a retry share of 0.
    Retry {
        /// How long to wait first.
        after: Duration,
    },
}
