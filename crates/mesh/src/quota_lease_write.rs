use crate::{QuotaLeaseRow, QuotaPartition};

/// A conditional write of a partition's row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuotaLeaseWrite {
    /// The version that the row has to have; 0 if there must be none.
    pub expected_version: u64,
    /// Whether the writer doesn't hold the partition yet.
    pub(crate) is_claim: bool,
    /// The partition.
    pub partition: QuotaPartition,
    /// What the row says afterwards.
    pub row: QuotaLeaseRow,
}
