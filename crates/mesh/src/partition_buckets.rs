use std::{collections::HashMap, rc::Rc, time::Duration};

use crate::{BootTime, QuotaAllowance, QuotaBucket, QuotaGrant};

/// After what time without a question a full bucket is forgotten.
const MAX_IDLE: Duration = Duration::from_secs(30);

/// The buckets of a partition that a daemon holds, as far as they are in use.
///
/// They end with the lease: the next holder begins with empty ones, so that all holders together grant no more than a
/// single one would.
#[derive(Debug)]
pub struct PartitionBuckets {
    buckets: HashMap<Rc<str>, UsedBucket>,
    since: BootTime,
}

#[derive(Debug)]
struct UsedBucket {
    asked_at: BootTime,
    bucket: QuotaBucket,
}

impl PartitionBuckets {
    /// Creates the buckets of a partition that was claimed at `since`, when all of them are empty.
    #[must_use]
    pub fn new(since: BootTime) -> Self {
        Self {
            buckets: HashMap::new(),
            since,
        }
    }

    /// Answers an entry's question for credits of an account, whose allowance is that of all its partitions.
    pub fn grant(
        &mut self,
        now: BootTime,
        account: &Rc<str>,
        allowance: QuotaAllowance,
        wanted: u32,
    ) -> QuotaGrant {
        let allowance = allowance.of_partition();
        // A bucket is forgotten only when it is full, so that it may have earned since the claim.
        let used_bucket = self
            .buckets
            .entry(account.clone())
            .or_insert_with(|| UsedBucket {
                asked_at: now,
                bucket: QuotaBucket::new(self.since, allowance),
            });
        used_bucket.asked_at = now;
        let bucket = &mut used_bucket.bucket;
        bucket.set_allowance(allowance);
        bucket.advance(now);
        bucket.grant(wanted)
    }

    /// Forgets the buckets that are full and no longer asked for.
    pub fn tick(&mut self, now: BootTime) {
        self.buckets.retain(|_, used_bucket| {
            used_bucket.bucket.advance(now);
            now.saturating_since(used_bucket.asked_at) < MAX_IDLE || !used_bucket.bucket.is_full()
        });
    }

    /// Applies the limits of a new configuration. The bucket of an account that has no limit any more stays until it is
    /// full: the limit may come back.
    pub fn set_allowances(&mut self, allowance: impl Fn(&str) -> Option<QuotaAllowance>) {
        for (account, used_bucket) in &mut self.buckets {
            if let Some(allowance) = allowance(account) {
                used_bucket.bucket.set_allowance(allowance.of_partition());
            }
        }
    }

    /// Returns the number of buckets.
    #[must_use]
    pub fn bucket_count(&self) -> usize {
        self.buckets.len()
    }
}
