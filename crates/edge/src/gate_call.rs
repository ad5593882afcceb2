use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use crate::{forwarded_request::ForwardedRequest, hop_route::HopRoute};

/// A request to a gate to run a client's request.
pub(crate) struct GateCall {
    pub(crate) deadline: Instant,
    /// Whether it may have arrived at a target before.
    pub(crate) is_retry: bool,
    pub(crate) forwarded: Rc<ForwardedRequest>,
    /// How long the request may wait for a slot.
    pub(crate) max_wait: Duration,
    pub(crate) route: HopRoute,
    /// The id of the only target that may run it.
    pub(crate) target_id: Rc<str>,
}
