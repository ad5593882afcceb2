use serde::{Deserialize, Serialize};

use crate::RowCondition;

/// One row's part of a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RowWrite {
    /// What must hold for the row.
    pub condition: RowCondition,
    /// The key.
    pub key: String,
    /// The new value; `None` deletes the row.
    pub value: Option<String>,
}
