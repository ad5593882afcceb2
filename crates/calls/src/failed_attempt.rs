use std::time::{Duration, Instant};

use medlarspool_types::Verdict;

use crate::Idempotency;

/// A try that brought no answer, as the retry decision sees it.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// The time that one more try is expected to take.
    pub expected_latency: Duration,
    /// Whether a second run does no harm.
    pub idempotency: Idempotency,
    /// Whether another upstream may take the request; see [`crate::RefusalReason::allows_other_upstream`].
    pub other_upstream_allowed: bool,
    /// How long the gate asked to stay away, if it answered.
    pub retry_after: Option<Duration>,
    /// How many tries were made at this hop, with this one.
    pub total_attempts: u32,
    /// What is known of this try; "may have run" also stands for all tries before it.
    pub verdict: Verdict,
}
