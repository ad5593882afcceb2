use std::{
    cell::Cell,
    rc::Rc,
    time::{Duration, Instant},
};

use medlarspool_mesh::{QuotaCredits, QuotaPartition};

/// After what time without a refusal an account counts as below its limit again.
const REFUSAL_PERIOD: Duration = Duration::from_secs(1);

/// What an entry knows of the quota of an account that is in use.
pub(crate) struct QuotaAccount {
    pub(crate) credits: QuotaCredits,
    pub(crate) last_request_at: Instant,
    pub(crate) partitions: Vec<QuotaPartition>,
    refused_at: Option<Instant>,
    /// The requests refused since the account last exceeded its limit.
    pub(crate) refused_count: u64,
    pub(crate) request_count: u64,
    /// The number of requests that wait for a credit.
    pub(crate) waiting_count: Rc<Cell<u32>>,
}

impl QuotaAccount {
    pub(crate) fn new(now: Instant, name: &str) -> Self {
        Self {
            credits: QuotaCredits::new(now, fastrand::u64(..)),
            last_request_at: now,
            partitions: QuotaPartition::of_account(name),
            refused_at: None,
            refused_count: 0,
            request_count: 0,
            waiting_count: Rc::default(),
        }
    }

    /// Records a refusal; returns whether the account was below its limit before.
    pub(crate) fn record_refusal(&mut self, now: Instant) -> bool {
        self.refused_count += 1;
        self.refused_at.replace(now).is_none()
    }

    /// Returns how many requests were refused, if the account was above its limit and no longer is.
    pub(crate) fn end_refusals(&mut self, now: Instant) -> Option<u64> {
        let refused_at = self.refused_at?;
        if now.saturating_duration_since(refused_at) < REFUSAL_PERIOD {
            return None;
        }
        self.refused_at = None;
        Some(std::mem::take(&mut self.refused_count))
    }
}
