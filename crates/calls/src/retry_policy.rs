use std::time::{Duration, Instant};

use fastrand::Rng;
use medlarspool_types::Verdict;

use crate::{CallSettings, FailedAttempt, GiveUpReason, Idempotency, RetryBudget, RetryDecision};

/// The delay after which a caller should retry if no gate named one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Decides whether a failed request is retried.
///
/// A request that did not run may be retried whatever its method; one that may have run only if it is
/// idempotent. An answer with an error status is an answer too, and is never retried here. See
/// `docs/design/calls.md`.
#[derive(Clone, Debug)]
pub struct RetryPolicy {
    base_backoff: Duration,
    max_attempts: u32,
    max_backoff: Duration,
}

impl RetryPolicy {
    /// Makes the policy that follows these settings.
    #[must_use]
    pub fn new(settings: &CallSettings) -> Self {
        Self {
            base_backoff: settings.base_retry_backoff,
            max_attempts: settings.max_attempts,
            max_backoff: settings.max_retry_backoff,
        }
    }

    /// Decides, and withdraws the retry from the budget if there is to be one.
    pub fn decide(
        &self,
        now: Instant,
        failed: &FailedAttempt,
        budget: &mut RetryBudget,
        random: &mut Rng,
    ) -> RetryDecision {
        let delay = self.backoff(failed, random);
        let reason = self.give_up_reason(now, failed, delay);
        let is_budget_spent = reason.is_none() && !budget.try_withdraw();
        match reason.or(is_budget_spent.then_some(GiveUpReason::BudgetSpent)) {
            Some(reason) => RetryDecision::GiveUp {
                reason,
                retry_after: failed.retry_after.unwrap_or(DEFAULT_RETRY_AFTER),
            },
            None => RetryDecision::Retry { delay },
        }
    }

    fn give_up_reason(
        &self,
        now: Instant,
        failed: &FailedAttempt,
        delay: Duration,
    ) -> Option<GiveUpReason> {
        match (failed.verdict, failed.idempotency) {
            (Verdict::Ran, _) => return Some(GiveUpReason::Ran),
            (Verdict::MayHaveRun, Idempotency::NonIdempotent) => {
                return Some(GiveUpReason::MayHaveRun);
            }
            (Verdict::MayHaveRun, Idempotency::Idempotent) | (Verdict::NotRun, _) => {}
        }
        if failed.total_attempts >= self.max_attempts {
            return Some(GiveUpReason::TooManyAttempts);
        }
        if !failed.other_upstream_allowed {
            return Some(GiveUpReason::Final);
        }
        if now + delay + failed.expected_latency >= failed.deadline {
            return Some(GiveUpReason::DeadlineTooClose);
        }
        None
    }

    /// Draws a back-off below a bound that doubles with each attempt, so that requests that failed at
    /// the same time are not retried at the same time.
    fn backoff(&self, failed: &FailedAttempt, random: &mut Rng) -> Duration {
        let doublings = failed.total_attempts.saturating_sub(1).min(16);
        let bound = self.base_backoff * (1 << doublings);
        bound.min(self.max_backoff).mul_f64(random.f64())
    }
}
