use hdrhistogram::Histogram;

/// The counts of a modelled run, for the requests that arrived in the measured time unless said otherwise.
///
/// The quiet customers are all but customer 0, which is the one that floods in [`crate::CallsFault::Flood`].
#[derive(Clone, Debug)]
pub struct CallsReport {
    /// Requests answered before their deadline.
    pub answered: u64,
    /// Requests that arrived.
    pub arrived: u64,
    /// Attempts sent, the first one of each request included.
    pub attempts: u64,
    /// The number of runs that the upstreams could have made in the measured time; for each service at most the
    /// number of its requests that arrived.
    pub capacity: f64,
    /// Requests answered within the measured time, whenever they arrived.
    pub completed: u64,
    /// Non-idempotent requests that ran more than once, whenever they arrived.
    pub double_runs: u64,
    /// Requests reported as not run that had run.
    pub false_not_run: u64,
    /// Attempts sent to another zone than the entry's.
    pub far_attempts: u64,
    /// The times from a request's arrival to its answer, in microseconds.
    pub latency_us: Histogram<u64>,
    /// Requests without an answer that may have run.
    pub may_have_run: u64,
    /// Requests reported as not run.
    pub not_run: u64,
    /// Answered requests of the quiet customers.
    pub quiet_answered: u64,
    /// Requests of the quiet customers.
    pub quiet_arrived: u64,
}

impl Default for CallsReport {
    fn default() -> Self {
        let latency_us = Histogram::new_with_bounds(1, 60_000_000, 3);
        Self {
            answered: 0,
            arrived: 0,
            attempts: 0,
            capacity: 0.0,
            completed: 0,
            double_runs: 0,
            false_not_run: 0,
            far_attempts: 0,
            latency_us: latency_us.expect("the bounds are constant and valid"),
            may_have_run: 0,
            not_run: 0,
            quiet_answered: 0,
            quiet_arrived: 0,
        }
    }
}

impl CallsReport {
    /// Adds the counts of another run.
    pub fn add(&mut self, other: &Self) {
        self.answered += other.answered;
        self.arrived += other.arrived;
        self.attempts += other.attempts;
        self.capacity += other.capacity;
        self.completed += other.completed;
        self.double_runs += other.double_runs;
        self.false_not_run += other.false_not_run;
        self.far_attempts += other.far_attempts;
        self.latency_us += &other.latency_us;
        self.may_have_run += other.may_have_run;
        self.not_run += other.not_run;
        self.quiet_answered += other.quiet_answered;
        self.quiet_arrived += other.quiet_arrived;
    }

    /// Returns the answered share of the requests, in percent.
    #[must_use]
    pub fn answered_percent(&self) -> f64 {
        percent(self.answered, to_f64(self.arrived))
    }

    /// Returns the answers within the measured time in percent of the capacity.
    #[must_use]
    pub fn completed_percent(&self) -> f64 {
        percent(self.completed, self.capacity)
    }

    /// Returns the answered share of the quiet customers' requests, in percent.
    #[must_use]
    pub fn quiet_percent(&self) -> f64 {
        percent(self.quiet_answered, to_f64(self.quiet_arrived))
    }

    /// Returns the mean number of attempts per request.
    #[must_use]
    pub fn attempts_per_request(&self) -> f64 {
        to_f64(self.attempts) / to_f64(self.arrived.max(1))
    }

    /// Returns the share of attempts sent to another zone than the entry's, in percent.
    #[must_use]
    pub fn far_percent(&self) -> f64 {
        percent(self.far_attempts, to_f64(self.attempts))
    }

    /// Returns the mean time from arrival to answer, in milliseconds.
    #[must_use]
    pub fn latency_mean_ms(&self) -> f64 {
        self.latency_us.mean() / 1_000.0
    }

    /// Returns a quantile of the time from arrival to answer, in milliseconds.
    #[must_use]
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        to_f64(self.latency_us.value_at_quantile(quantile)) / 1_000.0
    }
}

fn percent(part: u64, whole: f64) -> f64 {
    if whole <= 0.0 {
        return 100.0;
    }
    100.0 * to_f64(part) / whole
}

fn to_f64(count: u64) -> f64 {
    u32::try_from(count).map_or(f64::MAX, f64::from)
}
