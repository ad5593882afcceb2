use serde::{Deserialize, Serialize};

/// The precondition that a row must meet for a write to take effect.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RowCondition {
    /// There is no row with the key.
    Absent,
    /// No precondition.
    Any,
    /// The row has this etag.
    Matches(u64),
}
