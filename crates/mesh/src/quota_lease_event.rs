use crate::{QuotaLeaseChange, QuotaPartition};

/// A change of a lease, for the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuotaLeaseEvent {
    /// What happened.
    pub change: QuotaLeaseChange,
    /// The partition.
    pub partition: QuotaPartition,
}
