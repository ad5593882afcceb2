use std::time::{Duration, Instant};

/// A request that asks a gate for a slot.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GateRequest {
    /// The latest start for an answer that is worth most.
    pub latest_on_time_start: Instant,
    /// How long the run is expected to take.
    pub expected_run: Duration,
    /// The latest start for an answer that is worth anything.
    pub latest_start: Instant,
    /// The rank, where 0 is the most urgent.
    pub rank: u32,
}
