use std::time::{Duration, Instant};

/// How long a daemon may take itself for a living member, counted from when an answered probe left.
///
/// A paused process finds it lapsed when it wakes, because only a new answer renews it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lease {
    duration: Duration,
    renewed: Instant,
}

impl Lease {
    pub(crate) fn new(duration: Duration, now: Instant) -> Self {
        Self {
            duration,
            renewed: now,
        }
    }

    pub(crate) fn is_valid(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.renewed) < self.duration
    }

    pub(crate) fn renew(&mut self, sent: Instant) {
        self.renewed = self.renewed.max(sent);
    }
}
