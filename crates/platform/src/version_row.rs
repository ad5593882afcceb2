use medlarspool_config::ListsPatch;
use medlarspool_types::ConfigHead;
use serde::{Deserialize, Serialize};

use crate::ChangeRecord;

/// The row that the table stores for a version.
///
/// Most versions are stored as a patch against the previous version. Some are checkpoints: their whole
/// lists are stored as an object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct VersionRow {
    /// The newest checkpoint up to and including this version.
    pub(crate) checkpoint: ConfigHead,
    /// The patch against the previous version; `None` if it is too large for a row.
    pub(crate) patch: Option<ListsPatch>,
    /// The change that created the version.
    pub(crate) record: ChangeRecord,
}

impl VersionRow {
    /// Returns whether the version's whole lists are stored as an object.
    pub(crate) fn is_checkpoint(&self) -> bool {
        self.checkpoint == self.record.head
    }
}
