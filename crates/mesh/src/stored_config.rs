use crate::StorePosition;

/// The version of the configuration that the store holds as of a transaction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoredConfig {
    /// The store's newest transaction when it said so.
    pub position: StorePosition,
    /// The version of the configuration.
    pub version: u64,
}
