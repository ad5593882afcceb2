use serde::{Deserialize, Serialize};

use crate::RowWrite;

/// The JSON body of a table transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TableBatch {
    /// The rows, of which all or none are written.
    pub writes: Vec<RowWrite>,
}

/// The JSON body of the answer that refuses a transaction.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BatchConflict {
    /// The first row whose condition failed.
    pub key: String,
}
