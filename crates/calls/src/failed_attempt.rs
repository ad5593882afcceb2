use std::time::{Duration, Instant};

use medlarspool_types::Verdict;

use crate::Idempotency;

/// An attempt without an answer, as input to the retry decision.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// How long one more attempt is expected to take.
    pub expected_latency: Duration,
    /// Whether the request may run twice without harm.
    pub idempotency: Idempotency,
    /// Whether another upstream may take the request; see
    /// [`crate::RefusalReason::allows_other_upstream`].
    pub other_upstream_allowed: bool,
    /// The delay before a retry that the gate asked for, if it answered.
    pub retry_after: Option<Duration>,
    /// How many attempts were made at this hop, this one included.
    pub total_attempts: u32,
    /// What is known of this attempt, or [`Verdict::MayHaveRun`] if an earlier one may have run.
    pub verdict: Verdict,
}
