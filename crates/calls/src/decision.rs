use std::time::{Duration, Instant};

use medlarspool_types::{CallId, InstanceId, ServiceName};

use crate::DecisionReason;

/// One entry of the [`crate::DecisionLog`].
#[derive(Clone, Debug)]
pub struct Decision {
    /// The attempt that was sent or that failed.
    pub call: CallId,
    /// When the decision was made.
    pub decided_at: Instant,
    /// The expected time until an answer; zero if the call was not sent.
    pub expected_latency: Duration,
    /// Why the call was sent to the upstream, or not at all.
    pub reason: DecisionReason,
    /// The service that was called.
    pub service: ServiceName,
    /// The upstream that the call was sent to, if any.
    pub upstream: Option<InstanceId>,
}
