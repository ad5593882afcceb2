use std::time::Duration;

/// What a gate says to a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GateDecision {
    /// The request would wait longer than it can.
    Refuse {
        /// How long it would wait.
        expected_wait: Duration,
    },
    /// A slot is taken for it.
    Start,
    /// It waits under this ticket.
    Wait(u64),
}
