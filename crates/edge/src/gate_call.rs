use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use medlarspool_hop::HopAccount;
use medlarspool_mesh::TargetLimit;

use crate::{forwarded_request::ForwardedRequest, hop_route::HopRoute};

/// A client's request as it is sent to a gate, with the limits and the target of this attempt.
pub(crate) struct GateCall {
    /// Whose request it is; none if it needs no key.
    pub(crate) account: Option<HopAccount>,
    pub(crate) deadline: Instant,
    pub(crate) forwarded: Rc<ForwardedRequest>,
    /// Whether the request may have arrived at a target in an earlier attempt, and the calls of its run were not
    /// paid for out of the retry budget, since the entry doesn't know them.
    pub(crate) has_unpaid_calls: bool,
    /// What the entry knows of the target's limit, for a gate that restarted.
    pub(crate) known_limit: TargetLimit,
    /// How long the request may wait for a slot.
    pub(crate) max_wait: Duration,
    pub(crate) route: HopRoute,
    /// The id of the only target that may run the request in this attempt.
    pub(crate) target_id: Rc<str>,
}
