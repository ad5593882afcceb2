use std::time::{Duration, Instant};

use fastrand::Rng;
use medlarspool_calls::{
    CallSettings, FailedAttempt, Idempotency, RetryBudget, RetryDecision, RetryPolicy,
};
use medlarspool_types::Verdict;

use crate::RetryMode;

/// A chain of services, each of which calls the next, and its retries.
///
/// A service whose call fails in the end fails its own caller in the same way, which is the hardest
/// case: an error answer would not be tried again at all.
#[derive(Debug)]
pub struct CallsChain {
    budgets: Vec<RetryBudget>,
    calls: Vec<u64>,
    fails_percent: Vec<u32>,
    mode: RetryMode,
    now: Instant,
    random: Rng,
    retry: RetryPolicy,
    share: u32,
}

impl CallsChain {
    /// Makes a chain, given how many calls in a hundred each service fails by itself.
    #[must_use]
    pub fn new(settings: &CallSettings, fails_percent: &[u32], mode: RetryMode) -> Self {
        Self {
            budgets: fails_percent
                .iter()
                .map(|_| RetryBudget::new(settings))
                .collect(),
            calls: vec![0; fails_percent.len()],
            fails_percent: fails_percent.to_vec(),
            mode,
            now: Instant::now(),
            random: Rng::with_seed(8),
            retry: RetryPolicy::new(settings),
            share: settings.retry_per_mille,
        }
    }

    /// Sends `roots` calls into the first service, and returns how many were answered.
    pub fn run(&mut self, roots: u32) -> u32 {
        let answered = (0..roots).filter(|_| self.call(0, self.share));
        u32::try_from(answered.count()).unwrap_or(u32::MAX)
    }

    /// Returns the calls that each service got.
    #[must_use]
    pub fn calls(&self) -> &[u64] {
        &self.calls
    }

    fn call(&mut self, hop: usize, share: u32) -> bool {
        let mut share = self.budgets[hop].deposit(share);
        let mut tries = 0;
        loop {
            tries += 1;
            if self.serve(hop, share) {
                return true;
            }
            if !self.may_retry(hop, tries) {
                return false;
            }
            share = 0;
        }
    }

    fn serve(&mut self, hop: usize, share: u32) -> bool {
        self.calls[hop] += 1;
        if self.random.u32(..100) < self.fails_percent[hop] {
            return false;
        }
        hop + 1 == self.calls.len() || self.call(hop + 1, share)
    }

    fn may_retry(&mut self, hop: usize, tries: u32) -> bool {
        let failed = FailedAttempt {
            deadline: self.now + Duration::from_mins(1),
            expected_latency: Duration::ZERO,
            idempotency: Idempotency::Idempotent,
            other_upstream_allowed: true,
            retry_after: None,
            total_attempts: tries,
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
