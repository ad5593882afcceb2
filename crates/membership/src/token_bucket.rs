use std::time::{Duration, Instant};

/// A token bucket: limits a rate and allows short bursts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    /// The number of tokens when the bucket is full.
    burst: f64,
    refilled_at: Instant,
    rate_per_s: f64,
    tokens: f64,
}

impl TokenBucket {
    pub(crate) fn new(rate_per_s: u32, burst: u32, now: Instant) -> Self {
        Self {
            burst: f64::from(burst),
            refilled_at: now,
            rate_per_s: f64::from(rate_per_s),
            tokens: f64::from(burst),
        }
    }

    /// Returns the remaining tokens as a share of the burst: 1 if full, negative if more were spent than
    /// there were.
    pub(crate) fn remaining_share(&mut self, now: Instant) -> f64 {
        self.refill(now);
        self.tokens / self.burst
    }

    /// Takes tokens even if fewer remain; the number of tokens is then negative until it is refilled.
    pub(crate) fn spend(&mut self, now: Instant, tokens: u32) {
        self.refill(now);
        self.tokens -= f64::from(tokens);
    }

    /// Takes one token if one is available and returns whether it did.
    pub(crate) fn try_take(&mut self, now: Instant) -> bool {
        self.refill(now);
        let is_available = self.tokens >= 1.0;
        if is_available {
            self.tokens -= 1.0;
        }
        is_available
    }

    /// Returns the time until one token is available.
    pub(crate) fn time_to_next(&mut self, now: Instant) -> Duration {
        self.refill(now);
        Duration::from_secs_f64(((1.0 - self.tokens) / self.rate_per_s).max(0.0))
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed.as_secs_f64() * self.rate_per_s).min(self.burst);
    }
}
