use serde::{Deserialize, Serialize};

/// What must hold for a row at the moment of a write.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RowCondition {
    /// No row stands under the key.
    Absent,
    /// Nothing is asked.
    Any,
    /// The row has this etag.
    Matches(u64),
}
