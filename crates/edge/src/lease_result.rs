use medlarspool_mesh::{QuotaLeaseFailure, StoreEra, StoredQuotaLease};

/// What became of a call to the store for the leases.
#[derive(Clone, Debug)]
pub(crate) enum LeaseResult {
    Failed(QuotaLeaseFailure),
    /// The rows, as they were read in an era.
    Read(StoreEra, Vec<StoredQuotaLease>),
    /// The era and the number of the transaction that wrote the rows.
    Written(StoreEra, u64),
}
