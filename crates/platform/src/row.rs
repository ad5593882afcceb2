use serde::{Deserialize, Serialize};

/// A row as read from the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Differs after each write of the row; a value is never reused for the same key.
    pub etag: u64,
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
}
