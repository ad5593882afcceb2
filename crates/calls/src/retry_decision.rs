use std::time::Duration;

use crate::GiveUpReason;

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Answer the caller at once, since waiting could not change the answer.
    GiveUp {
        /// The reason.
        reason: GiveUpReason,
        /// The delay after which the caller should retry.
        retry_after: Duration,
    },
    /// Try again, at another upstream if there is one, with a retry share of 0.
    Retry {
        /// The back-off before the next attempt.
        after: Duration,
    },
}
