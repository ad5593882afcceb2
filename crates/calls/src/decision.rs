use std::time::{Duration, Instant};

use medlarspool_types::{CallId, InstanceId, ServiceName};

use crate::DecisionReason;

/// One entry of the [`crate::DecisionLog`].
#[derive(Clone, Debug)]
pub struct Decision {
    /// When it was made.
    pub at: Instant,
    /// The try that it is about.
    pub call: CallId,
    /// The time until an answer that was expected; zero if the call went nowhere.
    pub expected_latency: Duration,
    /// Why.
    pub reason: DecisionReason,
    /// The service.
    pub service: ServiceName,
    /// The upstream that the call went to, if any.
    pub upstream: Option<InstanceId>,
}
