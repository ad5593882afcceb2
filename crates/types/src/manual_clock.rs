use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant, SystemTime},
};

use crate::Clock;

/// A clock that moves only when it is advanced, for tests and for benches that run on simulated time.
#[derive(Debug)]
pub struct ManualClock {
    elapsed: Mutex<Duration>,
    start: Instant,
    system_start: SystemTime,
}

impl ManualClock {
    /// Moves the clock forward by `step`.
    pub fn advance(&self, step: Duration) {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner) += step;
    }

    fn elapsed(&self) -> Duration {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn system_now(&self) -> SystemTime {
        self.system_start + self.elapsed()
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self {
            elapsed: Mutex::default(),
            start: Instant::now(),
            system_start: SystemTime::UNIX_EPOCH + Duration::from_secs(1_000_000_000),
        }
    }
}
