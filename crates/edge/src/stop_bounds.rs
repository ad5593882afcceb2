use std::time::Instant;

/// When a request may run at a target in a planned stop of the daemon that received it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StopBounds {
    /// By when the target has to answer.
    pub(crate) deadline: Instant,
    /// Until when the request may start.
    pub(crate) latest_start: Instant,
}
