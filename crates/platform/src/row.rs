use serde::{Deserialize, Serialize};

/// A row as read from the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Identifies one write of the row. Each write sets another etag, and none is ever reused for the same key.
    pub etag: u64,
    /// The key, unique in the table; [`crate::Platform::list_rows`] sorts by it.
    pub key: String,
    /// The value; this crate writes JSON.
    pub value: String,
}
