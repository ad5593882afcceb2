use std::time::Duration;

use crate::StoredConfig;

/// What another daemon says of its own confirmation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerConfirmation {
    /// The age of its confirmation when it answered.
    pub age: Duration,
    /// What its confirmation says.
    pub stored: StoredConfig,
}
