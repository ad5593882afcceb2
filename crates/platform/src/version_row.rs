use medlarspool_config::ListsPatch;
use medlarspool_types::ConfigHead;
use serde::{Deserialize, Serialize};

use crate::ChangeRecord;

/// What the table keeps under a version.
///
/// Most versions are kept as what they change of the one before; every so often one is a checkpoint,
/// whose lists are an object of their own.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct VersionRow {
    /// The newest checkpoint that is not newer than the version.
    pub(crate) checkpoint: ConfigHead,
    /// What the version changes of the one before; `None` if that is too large for a row.
    pub(crate) patch: Option<ListsPatch>,
    /// The change that made the version.
    pub(crate) record: ChangeRecord,
}

impl VersionRow {
    /// Returns whether the version's lists are an object of their own.
    pub(crate) fn is_checkpoint(&self) -> bool {
        self.checkpoint == self.record.head
    }
}
