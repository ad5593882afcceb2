use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use crate::{forwarded_request::ForwardedRequest, hop_route::HopRoute};

/// A request that asks a gate to be run.
pub(crate) struct GateCall {
    pub(crate) deadline: Instant,
    /// Whether it has arrived at a target before.
    pub(crate) is_retry: bool,
    pub(crate) forwarded: Rc<ForwardedRequest>,
    pub(crate) max_wait: Duration,
    pub(crate) route: HopRoute,
    /// The id of the only target that may run it.
    pub(crate) target: Rc<str>,
}
