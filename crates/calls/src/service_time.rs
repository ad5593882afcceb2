use std::time::{Duration, Instant};

/// The share of a new sample in the mean.
const SAMPLE_SHARE: f64 = 0.1;

/// A moving mean of measured times that is forgotten when no new sample confirms it.
///
/// Forgetting matters: an estimate by which work is refused would otherwise never be corrected.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServiceTime {
    last: Option<Instant>,
    mean: Duration,
}

impl ServiceTime {
    /// Takes in a sample.
    pub fn record(&mut self, now: Instant, sample: Duration) {
        self.mean = match self.last {
            None => sample,
            Some(_) => self.mean.mul_f64(1.0 - SAMPLE_SHARE) + sample.mul_f64(SAMPLE_SHARE),
        };
        self.last = Some(now);
    }

    /// Returns the mean, or zero before the first sample.
    #[must_use]
    pub const fn mean(&self) -> Duration {
        self.mean
    }

    /// Returns whether the last sample, if any, lies further back than `age`.
    #[must_use]
    pub fn is_older_than(&self, now: Instant, age: Duration) -> bool {
        self.last
            .is_none_or(|last| now.saturating_duration_since(last) > age)
    }

    /// Returns the mean, halved for each `half_life` that passed since the last sample.
    #[must_use]
    pub fn decayed(&self, now: Instant, half_life: Duration) -> Duration {
        let Some(last) = self.last else {
            return Duration::ZERO;
        };
        let halvings = now.saturating_duration_since(last).as_secs_f64() / half_life.as_secs_f64();
        self.mean.mul_f64((-halvings).exp2())
    }
}
