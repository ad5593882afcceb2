use std::time::Duration;

/// The limits of all call decisions of one daemon, built once from its settings and passed down.
#[derive(Clone, Debug)]
pub struct CallSettings {
    /// How long a finished call's answer is kept for an entry that lost it.
    pub answer_retention: Duration,
    /// The first time that an upstream stays ejected; it doubles with each failed trial.
    pub base_ejection: Duration,
    /// The back-off before the first repeated try.
    pub base_retry_backoff: Duration,
    /// The most claims in one table transaction.
    pub claim_batch_rows: usize,
    /// The shortest time between the starts of two transactions of claims at one gate.
    pub claim_interval: Duration,
    /// How long an idempotency key is valid after the time that it carries.
    pub claim_lifetime: Duration,
    /// The time between two sweeps of old claim rows, over the whole fleet.
    pub claim_sweep_interval: Duration,
    /// The most claim rows that one sweep reads and deletes.
    pub claim_sweep_rows: usize,
    /// The most that two machines' system clocks differ; it guards the end of a key's lifetime.
    pub clock_skew_limit: Duration,
    /// How long a gate waits for other gates to confirm a crash report before it answers.
    pub crash_publish_timeout: Duration,
    /// How long crash evidence counts and a quarantined request is refused.
    pub crash_retention: Duration,
    /// The time that a call to another availability zone costs more than one to the own.
    pub cross_zone_cost: Duration,
    /// How many failures in a row eject an upstream.
    pub ejection_threshold: u32,
    /// How long a settled call's fate is kept.
    pub fate_retention: Duration,
    /// The half-life of a load report and of measured waits.
    pub load_half_life: Duration,
    /// The most bytes of kept answers; the oldest are dropped first.
    pub max_answers_bytes: usize,
    /// How many tries a request gets at one hop.
    pub max_attempts: u32,
    /// How often a claim write of unknown outcome is settled and repeated before it is given up.
    pub max_claim_writes: u32,
    /// The most crash evidence records.
    pub max_crash_records: usize,
    /// How many decisions the dump shows.
    pub max_decisions: usize,
    /// The largest share of a service's upstreams that may be ejected at once, in percent.
    pub max_ejected_percent: u32,
    /// The longest time that an upstream stays ejected before its next trial.
    pub max_ejection: Duration,
    /// The most fate records; more shorten what is remembered, never make it wrong.
    pub max_fates: usize,
    /// The most channels that a gate holds open; the oldest is closed first.
    pub max_open_channels: usize,
    /// The most requests that wait at one gate.
    pub max_queued_requests: usize,
    /// The longest back-off between two tries.
    pub max_retry_backoff: Duration,
    /// How many retries may be saved up.
    pub retry_burst: u32,
    /// Retries allowed for each thousand calls.
    pub retry_per_mille: u32,
    /// The time that a cold upstream takes to its full share.
    pub slow_start: Duration,
}

impl Default for CallSettings {
    fn default() -> Self {
        Self {
            answer_retention: Duration::from_secs(30),
            base_ejection: Duration::from_secs(1),
            base_retry_backoff: Duration::from_millis(5),
            claim_batch_rows: 50,
            claim_interval: Duration::from_millis(60),
            claim_lifetime: Duration::from_hours(24),
            claim_sweep_interval: Duration::from_secs(1),
            claim_sweep_rows: 400,
            clock_skew_limit: Duration::from_mins(5),
            crash_publish_timeout: Duration::from_millis(500),
            crash_retention: Duration::from_mins(10),
            cross_zone_cost: Duration::from_micros(1_500),
            ejection_threshold: 3,
            fate_retention: Duration::from_mins(2),
            load_half_life: Duration::from_millis(500),
            max_answers_bytes: 16 << 20,
            max_attempts: 3,
            max_claim_writes: 3,
            max_crash_records: 1_024,
            max_decisions: 256,
            max_ejected_percent: 50,
            max_ejection: Duration::from_mins(1),
            max_fates: 65_536,
            max_open_channels: 16_384,
            max_queued_requests: 128,
            max_retry_backoff: Duration::from_millis(250),
            retry_burst: 10,
            retry_per_mille: 90,
            slow_start: Duration::from_secs(4),
        }
    }
}
