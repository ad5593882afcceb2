use std::time::Duration;

use medlarspool_types::{Address, InstanceId};

use crate::DecisionReason;

/// The upstream chosen for a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Choice {
    /// The address of its gate.
    pub address: Address,
    /// The expected time until its answer.
    pub expected_latency: Duration,
    /// The instance that it runs on.
    pub instance: InstanceId,
    /// Why it was chosen.
    pub reason: DecisionReason,
}
