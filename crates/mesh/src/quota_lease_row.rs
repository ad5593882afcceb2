use std::net::SocketAddr;

use crate::StoreEra;

/// What the store's row of a partition says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuotaLeaseRow {
    /// The store's era in which the row was written, as far as the writer knew.
    pub era: StoreEra,
    /// The daemon that holds the partition; none if it is free.
    pub holder: Option<SocketAddr>,
    /// The incarnation of the daemon that wrote the row.
    pub incarnation: u64,
}
