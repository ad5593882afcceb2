use medlarspool_types::{ChangeId, ConfigHead, ConfigVersion};
use serde::{Deserialize, Serialize};

/// What the table stores about an accepted change, in the change's row and in its version's row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRecord {
    /// When the operator requested the change, in milliseconds since the Unix epoch.
    pub asked_at_ms: u64,
    /// The version that the operator's lists were edited from.
    pub base: ConfigVersion,
    /// The change's id, which also names the change's row.
    pub change: ChangeId,
    /// The version that the change created.
    pub head: ConfigHead,
    /// The operator's name as given with the change; it is not verified.
    pub operator: String,
}
