use std::time::{Instant, SystemTime};

/// Tells the time; passed in so that tests and benches decide it.
pub trait Clock: Send + Sync {
    /// Returns monotonic time, for durations and deadlines within one process.
    fn now(&self) -> Instant;

    /// Returns time since the epoch, for what is written where other processes read it.
    fn system_now(&self) -> SystemTime;
}
