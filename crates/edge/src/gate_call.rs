use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use crate::{forwarded_request::ForwardedRequest, hop_route::HopRoute};

/// A client's request as it is sent to a gate, with the limits and the target of this attempt.
pub(crate) struct GateCall {
    pub(crate) deadline: Instant,
    /// Whether the request may have arrived at a target in an earlier attempt.
    pub(crate) is_retry: bool,
    pub(crate) forwarded: Rc<ForwardedRequest>,
    /// How long the request may wait for a slot.
    pub(crate) max_wait: Duration,
    pub(crate) route: HopRoute,
    /// The id of the only target that may run the request in this attempt.
    pub(crate) target_id: Rc<str>,
}
