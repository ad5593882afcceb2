use medlarspool_config::Lists;
use medlarspool_types::{ChangeId, ConfigVersion};

/// One change of the lists that an operator asks for.
#[derive(Clone, Debug)]
pub struct Change {
    /// When the operator asked, in milliseconds since the Unix epoch.
    pub asked_at_ms: u64,
    /// The version that the operator's lists started from; what differs from it is the change.
    pub base: ConfigVersion,
    /// Names the change; made before the first try and kept over all tries.
    pub id: ChangeId,
    /// The lists as the operator wants them.
    pub lists: Lists,
    /// Who asks, for the history.
    pub operator: String,
    /// Whether an earlier run may have sent it already, so that only the table knows.
    pub sent_before: bool,
}
