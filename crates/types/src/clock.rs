use std::time::{Instant, SystemTime};

/// Provides the time; passed in so that tests and benches control it.
pub trait Clock: Send + Sync {
    /// Returns the monotonic time, for durations and deadlines within one process.
    fn now(&self) -> Instant;

    /// Returns the time of day, for timestamps that other processes read.
    fn system_now(&self) -> SystemTime;
}
