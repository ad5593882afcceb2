use crate::{QuotaLeaseRow, QuotaPartition};

/// The row of a partition as it was read in the store. A partition without one was never claimed, or the store came back
/// from a copy that doesn't have it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoredQuotaLease {
    /// The partition.
    pub partition: QuotaPartition,
    /// What the row says; none if it can't be read.
    pub row: Option<QuotaLeaseRow>,
    /// The row's version.
    pub version: u64,
}
