use serde::{Deserialize, Serialize};

use crate::ChangeRecord;

/// The final state of a change as the table records it; it never changes once recorded.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeFate {
    /// The change was accepted as a version.
    Accepted(ChangeRecord),
    /// The change was withdrawn; a transaction of it that is still in flight will have no effect.
    Withdrawn,
}
