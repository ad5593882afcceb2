use std::time::Duration;

/// The decision of a gate on a request for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateDecision {
    /// The request would have to wait longer than it may.
    Refuse {
        /// How long it would have to wait.
        expected_wait: Duration,
    },
    /// A slot is taken for the request, which starts now.
    Start,
    /// The request is queued; this ticket identifies it in the queue.
    Wait(u64),
}
