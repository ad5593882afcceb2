use std::time::Duration;

use crate::GiveUpReason;

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Answer the caller at once, since waiting could not change the answer.
    GiveUp {
        /// Why no further attempt is made.
        reason: GiveUpReason,
        /// The delay after which the caller should retry.
        retry_after: Duration,
    },
    /// Send the request again, to another upstream if there is one. Its context then carries
    /// a [`crate::RequestContext::retry_per_mille`] of 0, because the first attempt carried the share.
    Retry {
        /// The time to wait before the next attempt, from the random back-off.
        delay: Duration,
    },
}
