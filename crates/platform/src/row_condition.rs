use serde::{Deserialize, Serialize};

/// The precondition that a row must meet for a write to take effect.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RowCondition {
    /// There is no row with the key.
    Absent,
    /// Nothing is required: the row is overwritten, or inserted if it is absent.
    Any,
    /// The row has this etag, so it has not been written since it was read.
    Matches(u64),
}
