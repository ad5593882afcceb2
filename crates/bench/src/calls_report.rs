use hdrhistogram::Histogram;

/// What a modelled run came to, for the requests that arrived in the counted time.
#[derive(Clone, Debug)]
pub struct CallsReport {
    /// Requests answered in time.
    pub answered: u64,
    /// Requests that arrived.
    pub arrived: u64,
    /// Tries made.
    pub attempts: u64,
    /// The runs that upstreams could have ended, at most as many as arrived.
    pub capacity: f64,
    /// Requests answered within the counted time, whenever they arrived.
    pub completed: u64,
    /// Non-idempotent requests that ran twice.
    pub double_runs: u64,
    /// Requests reported "not run" that had run.
    pub false_not_run: u64,
    /// Tries that went to another zone than the entry's.
    pub far_attempts: u64,
    /// The time from arrival to answer, in microseconds.
    pub latency_us: Histogram<u64>,
    /// Requests without an answer that may have run.
    pub may_have_run: u64,
    /// Requests refused as "not run".
    pub not_run: u64,
    /// Requests of the customers that do not flood that were answered.
    pub quiet_answered: u64,
    /// Requests of the customers that do not flood.
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

    /// Returns the answered share of the requests that arrived, in percent.
    #[must_use]
    pub fn answered_percent(&self) -> f64 {
        percent(self.answered, to_f64(self.arrived))
    }

    /// Returns the answers of the counted time in percent of what capacity allowed.
    #[must_use]
    pub fn completed_percent(&self) -> f64 {
        percent(self.completed, self.capacity)
    }

    /// Returns the answered share of the customers that do not flood, in percent.
    #[must_use]
    pub fn quiet_percent(&self) -> f64 {
        percent(self.quiet_answered, to_f64(self.quiet_arrived))
    }

    /// Returns the tries for each request that arrived.
    #[must_use]
    pub fn attempts_per_request(&self) -> f64 {
        to_f64(self.attempts) / to_f64(self.arrived.max(1))
    }

    /// Returns the tries that left the entry's zone, in percent.
    #[must_use]
    pub fn far_percent(&self) -> f64 {
        percent(self.far_attempts, to_f64(self.attempts))
    }

    /// Returns the mean time to an answer, in milliseconds.
    #[must_use]
    pub fn latency_mean_ms(&self) -> f64 {
        self.latency_us.mean() / 1_000.0
    }

    /// Returns a quantile of the time to an answer, in milliseconds.
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
