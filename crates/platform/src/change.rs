use medlarspool_config::Lists;
use medlarspool_types::{ChangeId, ConfigVersion};

/// A change of the lists that an operator requests.
#[derive(Clone, Debug)]
pub struct Change {
    /// When the operator requested the change, in milliseconds since the Unix epoch.
    pub asked_at_ms: u64,
    /// The version that the operator edited; the edits are the difference between its lists and `lists`.
    pub base: ConfigVersion,
    /// Identifies the change; generated before the first attempt and the same for all attempts.
    pub id: ChangeId,
    /// The lists as the operator edited them.
    pub lists: Lists,
    /// The operator's name, for the history.
    pub operator: String,
    /// Whether an earlier run may have sent the change already. A refusal is then certain only once the
    /// table shows that the change was not accepted and cannot be any more.
    pub sent_before: bool,
}
