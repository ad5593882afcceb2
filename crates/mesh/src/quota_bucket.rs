use std::time::Duration;

use crate::{BootTime, QuotaAllowance, QuotaGrant};

/// The longest time after which an entry asks a holder without credits again: the limit may have risen meanwhile.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The bucket of an account in one partition.
#[derive(Clone, Copy, Debug)]
pub struct QuotaBucket {
    advanced_to: BootTime,
    allowance: QuotaAllowance,
    credits: f64,
}

impl QuotaBucket {
    /// Creates an empty bucket that earns credits from `since` on. The allowance is that of this bucket alone.
    #[must_use]
    pub const fn new(since: BootTime, allowance: QuotaAllowance) -> Self {
        Self {
            advanced_to: since,
            allowance,
            credits: 0.0,
        }
    }

    /// Applies a changed limit. A lower one takes credits away at once.
    pub fn set_allowance(&mut self, allowance: QuotaAllowance) {
        self.allowance = allowance;
        self.credits = self.credits.min(allowance.capacity);
    }

    /// Earns credits for the time since the latest call.
    pub fn advance(&mut self, now: BootTime) {
        let elapsed = now.saturating_since(self.advanced_to);
        self.advanced_to = self.advanced_to.max(now);
        let earned = self.allowance.rate_per_s * elapsed.as_secs_f64();
        self.credits = (self.credits + earned).min(self.allowance.capacity);
    }

    /// Grants as many of the wanted credits as there are; they count as spent.
    pub fn grant(&mut self, wanted: u32) -> QuotaGrant {
        let mut granted = 0;
        while granted < wanted && self.credits >= 1.0 {
            self.credits -= 1.0;
            granted += 1;
        }
        let retry_after = if granted == wanted {
            Duration::ZERO
        } else {
            self.time_to_next()
        };
        QuotaGrant {
            granted,
            retry_after,
        }
    }

    /// Returns whether the bucket holds all that it may hold.
    #[must_use]
    pub fn is_full(&self) -> bool {
        self.credits >= self.allowance.capacity
    }

    fn time_to_next(&self) -> Duration {
        if self.allowance.rate_per_s <= 0.0 {
            return MAX_RETRY_AFTER;
        }
        let wait_s = ((1.0 - self.credits) / self.allowance.rate_per_s).max(0.001);
        Duration::from_secs_f64(wait_s.min(MAX_RETRY_AFTER.as_secs_f64()))
    }
}
