use std::time::{Duration, Instant};

use medlarspool_mesh::RouteKey;

use crate::gate_call::GateCall;

/// How much later than the deadline of its run that of a call may seem to be, since its time counts from when it was read.
const MAX_READ_DELAY: Duration = Duration::from_millis(100);

/// What is recorded of a request that runs at the target or waits for a slot, for its retry budget, calls and crashes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunningWork {
    pub(crate) deadline: Instant,
    pub(crate) fingerprint: u64,
    /// Whether its calls count as retries that were not paid for.
    pub(crate) has_unpaid_calls: bool,
    /// Whether it was sent to the target: a request with a slot may still wait for a suspect of the same crash to end.
    pub(crate) is_sent: bool,
    pub(crate) route: RouteKey,
    /// Whether the request was suspected of crashing targets when it was sent, and wasn't answered.
    pub(crate) was_suspect: bool,
}

impl RunningWork {
    pub(crate) fn of(call: &GateCall) -> Self {
        Self {
            deadline: call.deadline,
            fingerprint: call.forwarded.fingerprint,
            has_unpaid_calls: call.has_unpaid_calls,
            is_sent: false,
            route: call.route.key,
            was_suspect: false,
        }
    }

    /// Returns whether the run may make a call with this deadline: calls expire with their run at the latest.
    pub(crate) fn may_make_call(&self, call_deadline: Instant) -> bool {
        call_deadline <= self.deadline + MAX_READ_DELAY
    }
}
