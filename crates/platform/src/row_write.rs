use serde::{Deserialize, Serialize};

use crate::RowCondition;

/// The write of one row in a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RowWrite {
    /// What must hold for the row as stored; if it does not, no row of the transaction is written.
    pub condition: RowCondition,
    /// The key of the row, which is inserted if the table has none with it.
    pub key: String,
    /// The new value; `None` deletes the row.
    pub value: Option<String>,
}
