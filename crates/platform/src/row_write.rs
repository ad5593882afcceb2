use serde::{Deserialize, Serialize};

use crate::RowCondition;

/// The write of one row in a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RowWrite {
    /// The precondition on the row.
    pub condition: RowCondition,
    /// The key.
    pub key: String,
    /// The new value; `None` deletes the row.
    pub value: Option<String>,
}
