use std::time::Duration;

use crate::{Account, QuotaAllowance};

/// How long after the entry asked for it a credit expires.
pub(crate) const CREDIT_LIFETIME: Duration = Duration::from_millis(500);

/// How long an entry holds a request for a credit at most.
pub(crate) const MAX_HOLD: Duration = Duration::from_millis(60);

/// How many credits above the burst the buckets hold, if the bound leaves room. Requests of a small account arrive in
/// clumps: at 1/1.6 of its limit, a bucket of little more than its burst would refuse some of them.
const SPARE_CAPACITY: f64 = 15.0;

/// How much capacity is kept at the cost of the rate: the bucket of each of an account's partitions must be
/// able to hold a whole credit.
const MIN_CAPACITY: f64 = 6.0;

/// How far the fleet may exceed the limits of accounts, as the deployment's settings state it.
///
/// See `docs/design/quotas.md` for the arithmetic.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    overage: f64,
    slack: f64,
    window: Duration,
}

impl QuotaBounds {
    /// Creates bounds by which an account may run its limit and `overage` of it, and `slack` requests more, in each
    /// `window`.
    #[must_use]
    pub const fn new(overage: f64, slack: f64, window: Duration) -> Self {
        Self {
            overage,
            slack,
            window,
        }
    }

    /// Returns how many requests of an account may run in a window.
    #[must_use]
    pub fn max_requests(&self, account: &Account) -> f64 {
        let limit = account.rate_per_s * self.window.as_secs_f64() + account.burst;
        limit * (1.0 + self.overage) + self.slack
    }

    /// Returns what the buckets of an account may give out without exceeding the bound.
    ///
    /// A request that is sent in a window runs by a credit that was granted at most a credit's lifetime before the
    /// window and at most the time of a held request after it. What the buckets earn in this span, and what they held
    /// at its beginning, is together at most the bound.
    #[must_use]
    pub fn allowance(&self, account: &Account) -> QuotaAllowance {
        let max_requests = self.max_requests(account);
        let span_s = (self.window + CREDIT_LIFETIME + MAX_HOLD).as_secs_f64();
        let min_capacity = MIN_CAPACITY.min(max_requests);
        let rate_per_s = account
            .rate_per_s
            .min((max_requests - min_capacity) / span_s)
            .max(0.0);
        QuotaAllowance {
            capacity: (account.burst + SPARE_CAPACITY).min(max_requests - rate_per_s * span_s),
            rate_per_s,
        }
    }
}
