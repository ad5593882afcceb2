use std::time::Duration;

use medlarspool_types::{Address, InstanceId};

use crate::DecisionReason;

/// The upstream that a call goes to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// Where its gate is reached.
    pub address: Address,
    /// The time until an answer that was expected.
    pub expected_latency: Duration,
    /// The instance.
    pub instance: InstanceId,
    /// Why it was chosen.
    pub reason: DecisionReason,
}
