use std::time::{Duration, Instant};

use fastrand::Rng;
use medlarspool_calls::{
    CallSettings, FailedAttempt, Idempotency, RetryBudget, RetryDecision, RetryPolicy,
};
use medlarspool_types::Verdict;

use crate::RetryMode;

/// A model of a chain of services, each of which calls the next one and retries failed calls.
///
/// A service whose call fails for good fails its own caller in the same way. That is the worst case for
/// amplification: an error answer would not be retried at all.
#[derive(Debug)]
pub struct CallsChain {
    budgets: Vec<RetryBudget>,
    call_counts: Vec<u64>,
    failure_percents: Vec<u32>,
    mode: RetryMode,
    now: Instant,
    random: Rng,
    retry: RetryPolicy,
    retry_per_mille: u32,
}

impl CallsChain {
    /// Makes a chain of one service for each entry of `failure_percents`, the percentage of calls that the
    /// service fails by itself.
    #[must_use]
    pub fn new(settings: &CallSettings, failure_percents: &[u32], mode: RetryMode) -> Self {
        Self {
            budgets: failure_percents
                .iter()
                .map(|_| RetryBudget::new(settings))
                .collect(),
            call_counts: vec![0; failure_percents.len()],
            failure_percents: failure_percents.to_vec(),
            mode,
            now: Instant::now(),
            random: Rng::with_seed(8),
            retry: RetryPolicy::new(settings),
            retry_per_mille: settings.retry_per_mille,
        }
    }

    /// Sends `root_calls` calls to the first service and returns how many were answered.
    pub fn run(&mut self, root_calls: u32) -> u32 {
        let answered = (0..root_calls).filter(|_| self.call(0, self.retry_per_mille));
        u32::try_from(answered.count()).unwrap_or(u32::MAX)
    }

    /// Returns the number of calls, including retries, that each service received.
    #[must_use]
    pub fn call_counts(&self) -> &[u64] {
        &self.call_counts
    }

    /// Calls the service at a hop until a call is answered or may not be retried; returns whether one was
    /// answered.
    ///
    /// Each root call carries a fraction of a retry, in thousandths. The first attempt at a hop deposits what
    /// the hop's budget accepts of it and passes the rest on to the next hop; retries carry none.
    fn call(&mut self, hop: usize, retry_per_mille: u32) -> bool {
        let mut retry_per_mille = self.budgets[hop].deposit(retry_per_mille);
        let mut attempt_count = 0;
        loop {
            attempt_count += 1;
            if self.serve(hop, retry_per_mille) {
                return true;
            }
            if !self.may_retry(hop, attempt_count) {
                return false;
            }
            retry_per_mille = 0;
        }
    }

    /// Runs one call at a hop, which calls the next hop unless it fails by itself; returns whether it
    /// succeeded.
    fn serve(&mut self, hop: usize, retry_per_mille: u32) -> bool {
        self.call_counts[hop] += 1;
        if self.random.u32(..100) < self.failure_percents[hop] {
            return false;
        }
        hop + 1 == self.call_counts.len() || self.call(hop + 1, retry_per_mille)
    }

    /// Returns whether the policy allows another attempt. In [`RetryMode::Unbounded`] the policy is given a
    /// new budget each time, so that only the maximum number of attempts limits the retries.
    fn may_retry(&mut self, hop: usize, attempt_count: u32) -> bool {
        let failed = FailedAttempt {
            deadline: self.now + Duration::from_mins(1),
            expected_latency: Duration::ZERO,
            idempotency: Idempotency::Idempotent,
            other_upstream_allowed: true,
            retry_after: None,
            total_attempts: attempt_count,
            verdict: Verdict::MayHaveRun,
        };
        let mut unbounded = RetryBudget::new(&CallSettings::default());
        let budget = match self.mode {
            RetryMode::Budget => &mut self.budgets[hop],
            RetryMode::Unbounded => &mut unbounded,
        };
        let decision = self
            .retry
            .decide(self.now, &failed, budget, &mut self.random);
        matches!(decision, RetryDecision::Retry { .. })
    }
}
