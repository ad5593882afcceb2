use medlarspool_types::{ChangeId, ConfigHead, ConfigVersion};
use serde::{Deserialize, Serialize};

/// What the table keeps of an accepted change, under its id and under its version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRecord {
    /// When the operator asked, in milliseconds since the Unix epoch.
    pub asked_at_ms: u64,
    /// The version that the operator's lists started from.
    pub base: ConfigVersion,
    /// The change.
    pub change: ChangeId,
    /// The version that the change made.
    pub head: ConfigHead,
    /// Who asked.
    pub operator: String,
}
