use crate::ClaimRow;

/// A claim row as read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimHolder {
    /// The row's etag.
    pub etag: u64,
    /// The try that holds the key.
    pub row: ClaimRow,
}
