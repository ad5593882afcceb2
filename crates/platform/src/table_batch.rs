use serde::{Deserialize, Serialize};

use crate::RowWrite;

/// The JSON body of a table transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TableBatch {
    /// The writes, which take effect together or not at all.
    pub writes: Vec<RowWrite>,
}

/// The JSON body of the response that refuses a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BatchConflict {
    /// The key of the first row whose precondition does not hold.
    pub key: String,
}
