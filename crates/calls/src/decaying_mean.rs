use std::time::{Duration, Instant};

/// The weight of a new sample in the mean.
const SAMPLE_WEIGHT: f64 = 0.1;

/// An exponentially weighted mean of measured times that decays while no new sample arrives.
///
/// Without the decay, an estimate by which work is refused would never be corrected, because refused
/// work yields no samples.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingMean {
    last_sample_at: Option<Instant>,
    mean: Duration,
}

impl DecayingMean {
    /// Adds a sample that was measured at `now`; the first one becomes the mean.
    pub fn record(&mut self, now: Instant, sample: Duration) {
        self.mean = match self.last_sample_at {
            None => sample,
            Some(_) => self.mean.mul_f64(1.0 - SAMPLE_WEIGHT) + sample.mul_f64(SAMPLE_WEIGHT),
        };
        self.last_sample_at = Some(now);
    }

    /// Returns the mean, or zero before the first sample.
    #[must_use]
    pub const fn mean(&self) -> Duration {
        self.mean
    }

    /// Returns whether there is no sample or the last one is older than `age`.
    #[must_use]
    pub fn is_older_than(&self, now: Instant, age: Duration) -> bool {
        self.last_sample_at
            .is_none_or(|last| now.saturating_duration_since(last) > age)
    }

    /// Returns the mean, halved for each `half_life` that passed since the last sample.
    #[must_use]
    pub fn decayed(&self, now: Instant, half_life: Duration) -> Duration {
        let Some(last) = self.last_sample_at else {
            return Duration::ZERO;
        };
        let halvings = now.saturating_duration_since(last).as_secs_f64() / half_life.as_secs_f64();
        self.mean.mul_f64((-halvings).exp2())
    }
}
