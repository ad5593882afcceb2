use std::time::Duration;

use hdrhistogram::Histogram;

use crate::call_load::answer_time_histogram;

/// The outcomes of a load's requests.
#[derive(Clone, Debug)]
pub struct CallLoadResult {
    /// Complete, correct answers that arrived before the load's duration was over, counted from its start.
    pub answered_in_time: u64,
    /// The times of complete, correct answers, from when each request was due, in microseconds.
    pub answered_us: Histogram<u64>,
    /// The time from a round's start until its last request ended, summed over all rounds.
    pub elapsed: Duration,
    /// Requests without any answer, because the connection or the client's timeout ended first.
    pub lost: u64,
    /// Requests refused with status 503.
    pub refused: u64,
    /// Requests answered with any other status, so that it is unknown whether they ran.
    pub unknown: u64,
    /// Answers with status 200 whose body does not name their request: they belong to another request or are
    /// truncated.
    pub wrong: u64,
}

impl CallLoadResult {
    /// Returns how many requests got a complete, correct answer.
    #[must_use]
    pub fn answered(&self) -> u64 {
        self.answered_us.len()
    }

    /// Returns a quantile of the time to an answer, in milliseconds.
    #[must_use]
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        let micros = self.answered_us.value_at_quantile(quantile);
        Duration::from_micros(micros).as_secs_f64() * 1_000.0
    }

    /// Adds the outcomes of another sender of the same load, or of another round of it.
    pub fn add(&mut self, other: Self) {
        self.answered_in_time += other.answered_in_time;
        self.answered_us += other.answered_us;
        self.elapsed += other.elapsed;
        self.lost += other.lost;
        self.refused += other.refused;
        self.unknown += other.unknown;
        self.wrong += other.wrong;
    }

    /// Records a complete, correct answer that arrived this long after its request was due.
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
