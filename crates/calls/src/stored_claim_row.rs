use crate::ClaimRow;

/// A claim row as read from the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredClaimRow {
    /// The row's etag, on which a write that replaces or deletes the row is conditional.
    pub etag: u64,
    /// The row, which names the attempt that holds the key.
    pub row: ClaimRow,
}
