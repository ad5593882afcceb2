use std::time::{Duration, Instant};

/// The time in which a daemon may act as a living member, counted from when its last answered probe
/// was sent.
///
/// After a pause of the process the lease has expired, because only a newly answered probe renews
/// it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Lease {
    duration: Duration,
    /// When the latest answered probe was sent, or when the lease was created if no probe was answered yet.
    renewed_at: Instant,
}

impl Lease {
    pub(crate) fn new(duration: Duration, now: Instant) -> Self {
        Self {
            duration,
            renewed_at: now,
        }
    }

    pub(crate) fn is_valid(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.renewed_at) < self.duration
    }

    /// Renews the lease by an answered probe, which was sent at `sent_at`.
    pub(crate) fn renew(&mut self, sent_at: Instant) {
        self.renewed_at = self.renewed_at.max(sent_at);
    }
}
