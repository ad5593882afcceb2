use std::time::{Duration, Instant};

use fastrand::Rng;
use medlarspool_types::Verdict;

use crate::{CallSettings, FailedAttempt, GiveUpReason, Idempotency, RetryBudget, RetryDecision};

/// The time after which a caller may come back when no gate named one.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Decides whether a failed request is tried again.
///
/// "Not run" may be tried again whatever the method, "may have run" only if the request is
/// idempotent. An answer that tells of an error is an answer, and is never tried again here. See
/// `docs/design/calls.md`.
#[derive(Clone, Debug)]
pub struct RetryPolicy {
    backoff_longest: Duration,
    backoff_shortest: Duration,
    tries: u32,
}

impl RetryPolicy {
    /// Makes the policy of the settings.
    #[must_use]
    pub fn new(settings: &CallSettings) -> Self {
        Self {
            backoff_longest: settings.max_retry_backoff,
            backoff_shortest: settings.base_retry_backoff,
            tries: settings.max_attempts,
        }
    }

    /// Decides, and takes the retry out of the budget if there is one.
    pub fn decide(
        &self,
        now: Instant,
        failed: &FailedAttempt,
        budget: &mut RetryBudget,
        random: &mut Rng,
    ) -> RetryDecision {
        let after = self.backoff(failed, random);
        let reason = self.reason_to_give_up(now, failed, after);
        let spent = reason.is_none() && !budget.try_withdraw();
        match reason.or(spent.then_some(GiveUpReason::BudgetSpent)) {
            Some(reason) => RetryDecision::GiveUp {
                reason,
                retry_after: failed.retry_after.unwrap_or(RETRY_AFTER),
            },
            None => RetryDecision::Retry { after },
        }
    }

    fn reason_to_give_up(
        &self,
        now: Instant,
        failed: &FailedAttempt,
        after: Duration,
    ) -> Option<GiveUpReason> {
        match (failed.verdict, failed.idempotency) {
            (Verdict::Ran, _) => return Some(GiveUpReason::Ran),
            (Verdict::MayHaveRun, Idempotency::NonIdempotent) => {
                return Some(GiveUpReason::MayHaveRun);
            }
            (Verdict::MayHaveRun, Idempotency::Idempotent) | (Verdict::NotRun, _) => {}
        }
        if failed.total_attempts >= self.tries {
            return Some(GiveUpReason::TooManyAttempts);
        }
        if !failed.other_upstream_allowed {
            return Some(GiveUpReason::Final);
        }
        if now + after + failed.expected_latency >= failed.deadline {
            return Some(GiveUpReason::DeadlineTooClose);
        }
        None
    }

    /// Draws a wait below a bound that doubles with each try, so that herds spread out.
    fn backoff(&self, failed: &FailedAttempt, random: &mut Rng) -> Duration {
        let doublings = failed.total_attempts.saturating_sub(1).min(16);
        let bound = self.backoff_shortest * (1 << doublings);
        bound.min(self.backoff_longest).mul_f64(random.f64())
    }
}
