use serde::{Deserialize, Serialize};

/// A row of the table as read.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Changes with each write of the row and is never used again for its key.
    pub etag: u64,
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
}
