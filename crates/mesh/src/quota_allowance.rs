use crate::QuotaPartition;

/// What the token buckets of an account may give out, summed over the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaAllowance {
    /// How many credits all buckets of the account may hold together.
    pub capacity: f64,
    /// How many credits per second all buckets of the account earn together.
    pub rate_per_s: f64,
}

impl QuotaAllowance {
    /// Returns what the bucket of one of the account's partitions may give out.
    #[must_use]
    pub fn of_partition(self) -> Self {
        let count = f64::from(QuotaPartition::COUNT_PER_ACCOUNT);
        Self {
            capacity: self.capacity / count,
            rate_per_s: self.rate_per_s / count,
        }
    }
}
