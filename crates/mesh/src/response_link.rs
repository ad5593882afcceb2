use std::time::{Duration, Instant};

/// The size of a download's response that is assumed before any was sent.
const ASSUMED_RESPONSE_BYTES: f64 = 90_000.0;

/// The weight of a new response in the mean size: old ones fade within about ten new ones.
const SAMPLE_WEIGHT: f64 = 0.12;

/// The most bytes by which one response counts. A target may name any length, and a longer response ends with its
/// deadline.
const MAX_RESPONSE_BYTES: u64 = 4 << 20;

/// The longest time that queued responses are expected to take. Requests have shorter deadlines, after which what
/// is still queued is dropped.
const MAX_QUEUED_TIME: Duration = Duration::from_secs(10);

/// How long the responses that a daemon sends take on its link, by the link's speed.
///
/// Bytes that the kernel has taken over may still wait for the link, and a slow reader leaves the link free. Bytes
/// therefore count as sent after the time that the link needs for them, and not when they are written.
#[derive(Debug)]
pub struct ResponseLink {
    bytes_per_s: f64,
    /// When the link will have sent all responses.
    idle_at: Option<Instant>,
    mean_response_bytes: f64,
}

impl ResponseLink {
    /// Creates the state of an idle link; none if its speed isn't known.
    #[must_use]
    pub fn new(mbit_per_s: f64) -> Option<Self> {
        (mbit_per_s.is_finite() && mbit_per_s > 0.0).then_some(Self {
            bytes_per_s: mbit_per_s * 1e6 / 8.0,
            idle_at: None,
            mean_response_bytes: ASSUMED_RESPONSE_BYTES,
        })
    }

    /// Queues bytes of a response; returns when they will have been sent.
    pub fn add(&mut self, now: Instant, bytes: u64) -> Instant {
        let queued = self.queued_time(now) + self.time_of(bytes);
        let sent_at = now + queued.min(MAX_QUEUED_TIME);
        self.idle_at = Some(sent_at);
        sent_at
    }

    /// Removes bytes that are not sent after all. Those that count as sent already, since the queue was to reach their
    /// end at `sent_at`, are not in it any more.
    pub fn remove(&mut self, now: Instant, bytes: u64, sent_at: Instant) {
        let remaining = sent_at.saturating_duration_since(now);
        let removed = self.time_of(bytes).min(remaining);
        let queued = self.queued_time(now).saturating_sub(removed);
        self.idle_at = Some(now + queued);
    }

    /// Adds the size of a download's response to the mean.
    pub fn record_response(&mut self, bytes: u64) {
        let sample = as_f64(bytes.min(MAX_RESPONSE_BYTES));
        self.mean_response_bytes += (sample - self.mean_response_bytes) * SAMPLE_WEIGHT;
    }

    /// Returns how long the link needs for the queued bytes.
    #[must_use]
    pub fn queued_time(&self, now: Instant) -> Duration {
        self.idle_at
            .map_or(Duration::ZERO, |at| at.saturating_duration_since(now))
    }

    /// Returns how long the link needs for a download's response of mean size.
    #[must_use]
    pub fn mean_response_time(&self) -> Duration {
        self.time_of_bytes(self.mean_response_bytes)
    }

    fn time_of(&self, bytes: u64) -> Duration {
        self.time_of_bytes(as_f64(bytes.min(MAX_RESPONSE_BYTES)))
    }

    fn time_of_bytes(&self, bytes: f64) -> Duration {
        let seconds = (bytes / self.bytes_per_s).min(MAX_QUEUED_TIME.as_secs_f64());
        Duration::from_secs_f64(seconds)
    }
}

/// Converts a number of bytes that is at most [`MAX_RESPONSE_BYTES`], which is exact.
#[allow(clippy::cast_precision_loss)]
const fn as_f64(bytes: u64) -> f64 {
    bytes as f64
}
