use crate::QuotaLeaseWrite;

/// A call to the store that the leases need.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuotaLeaseAction {
    /// All rows are read.
    Read,
    /// The rows are written in one transaction.
    Write(Vec<QuotaLeaseWrite>),
}
