use serde::{Deserialize, Serialize};

use crate::ChangeRecord;

/// What the table says of a change; it never says anything else of it later.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeFate {
    /// The change is accepted as a version.
    Accepted(ChangeRecord),
    /// The change was given up; a transaction of it that is still on its way has no effect.
    Withdrawn,
}
