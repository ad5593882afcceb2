use medlarspool_types::CallId;

/// One conditional write to a claim row, as part of a table transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimWrite {
    /// The attempt that the write is made for.
    pub attempt: CallId,
    /// The etag that the row must have; `None` means that it must be absent.
    pub etag: Option<u64>,
    /// The row's key.
    pub key: String,
    /// The new value; `None` deletes the row.
    pub value: Option<String>,
}
