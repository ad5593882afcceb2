use std::{
    rc::Rc,
    time::{Duration, Instant},
};

/// What a gate needs to know of a request that needs a slot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GateRequest {
    /// The account whose requests of the rank share one turn; none for calls of targets, for requests to public routes
    /// and where there are no accounts.
    pub account: Option<Rc<str>>,
    /// The expected run time, from which the waits of the requests behind this one are computed.
    pub expected_run_time: Duration,
    /// Whether a target makes the request while it runs another one.
    pub is_call: bool,
    /// The latest start for an answer within the target latency.
    pub latest_on_time_start: Instant,
    /// The latest start at which the request may still run; the queue refuses it if the expected wait ends later.
    pub latest_start: Instant,
    /// The rank, where 0 is the most urgent.
    pub rank: u32,
}

impl GateRequest {
    /// Returns whether the request can no longer be answered within its target latency if it starts now.
    pub(crate) fn is_late(&self, now: Instant) -> bool {
        self.latest_on_time_start < now
    }
}
