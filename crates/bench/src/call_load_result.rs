use std::time::Duration;

use hdrhistogram::Histogram;

use crate::call_load::answer_time_histogram;

/// What became of a load's requests.
#[derive(Clone, Debug)]
pub struct CallLoadResult {
    /// Whole, right answers that came while requests still arrived.
    pub answered_in_time: u64,
    /// The times of whole, right answers from when each request was due, in microseconds.
    pub answered_us: Histogram<u64>,
    /// The time until the last request was done with, over all rounds.
    pub elapsed: Duration,
    /// Requests without any answer.
    pub lost: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Requests that may have run.
    pub unknown: u64,
    /// Answers to another request, or cut off.
    pub wrong: u64,
}

impl CallLoadResult {
    /// Returns how many requests were answered.
    #[must_use]
    pub fn answered(&self) -> u64 {
        self.answered_us.len()
    }

    /// Returns the time that this share of the answers took at most, in milliseconds.
    #[must_use]
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        let micros = self.answered_us.value_at_quantile(quantile);
        Duration::from_micros(micros).as_secs_f64() * 1_000.0
    }

    /// Takes in another part of the same load, or another round of it.
    pub fn add(&mut self, other: Self) {
        self.answered_in_time += other.answered_in_time;
        self.answered_us += other.answered_us;
        self.elapsed += other.elapsed;
        self.lost += other.lost;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.wrong += other.wrong;
    }

    /// Counts an answer that came this long after its request was due.
    pub fn record_answer(&mut self, elapsed: Duration) {
        let micros = u64::try_from(elapsed.as_micros()).unwrap_or(u64::MAX);
        self.answered_us.saturating_record(micros);
    }
}

impl Default for CallLoadResult {
    fn default() -> Self {
        Self {
            answered_in_time: 0,
            answered_us: answer_time_histogram(),
            elapsed: Duration::ZERO,
            lost: 0,
            refused: 0,
            unknown: 0,
            wrong: 0,
        }
    }
}
