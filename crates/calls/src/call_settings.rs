use std::time::Duration;

/// The limits of all call decisions of one daemon, built once from its settings and passed down.
#[derive(Clone, Debug)]
pub struct CallSettings {
    /// How long a finished call's answer is kept for an entry that lost it.
    pub answer_kept: Duration,
    /// The most bytes of kept answers; the oldest are dropped first.
    pub answers_bytes: usize,
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
    /// How often a claim write of unknown outcome is settled and repeated before it is given up.
    pub claim_tries: u32,
    /// The most that two machines' system clocks differ; it guards the end of a key's lifetime.
    pub clock_skew_limit: Duration,
    /// How long a gate waits for other gates to confirm a crash report before it answers.
    pub crash_publish_timeout: Duration,
    /// How long crash evidence counts and a quarantined request is refused.
    pub crash_remembered: Duration,
    /// The most crash evidence records.
    pub crashes_remembered: usize,
    /// How many decisions the dump shows.
    pub decisions_kept: usize,
    /// How many failures in a row eject an upstream.
    pub eject_failures: u32,
    /// The longest time that an upstream stays ejected before its next trial.
    pub eject_longest: Duration,
    /// The largest share of a service's upstreams that may be ejected at once, in percent.
    pub eject_share_percent: u32,
    /// The first time that an upstream stays ejected; it doubles with each failed trial.
    pub eject_shortest: Duration,
    /// How long a settled call's fate is kept.
    pub fate_kept: Duration,
    /// The most fate records; more shorten what is remembered, never make it wrong.
    pub fates_kept: usize,
    /// The time that a call to another availability zone costs more than one to the own.
    pub link_cost: Duration,
    /// The half-life of a load report and of measured waits.
    pub load_half_life: Duration,
    /// The most channels that a gate holds open; the oldest is closed first.
    pub open_channels: usize,
    /// The most requests that wait at one gate.
    pub queue_requests: usize,
    /// The time that a cold upstream takes to its full share.
    pub ramp: Duration,
    /// The longest back-off between two tries.
    pub retry_backoff_longest: Duration,
    /// The back-off before the first repeated try.
    pub retry_backoff_shortest: Duration,
    /// How many retries may be saved up.
    pub retry_burst: u32,
    /// Retries allowed for each thousand calls.
    pub retry_per_mille: u32,
    /// How many tries a request gets at one hop.
    pub tries: u32,
}

impl Default for CallSettings {
    fn default() -> Self {
        Self {
            answer_kept: Duration::from_secs(30),
            answers_bytes: 16 << 20,
            claim_batch_rows: 50,
            claim_interval: Duration::from_millis(60),
            claim_lifetime: Duration::from_hours(24),
            claim_sweep_interval: Duration::from_secs(1),
            claim_sweep_rows: 400,
            claim_tries: 3,
            clock_skew_limit: Duration::from_mins(5),
            crash_publish_timeout: Duration::from_millis(500),
            crash_remembered: Duration::from_mins(10),
            crashes_remembered: 1_024,
            decisions_kept: 256,
            eject_failures: 3,
            eject_longest: Duration::from_mins(1),
            eject_share_percent: 50,
            eject_shortest: Duration::from_secs(1),
            fate_kept: Duration::from_mins(2),
            fates_kept: 65_536,
            link_cost: Duration::from_micros(1_500),
            load_half_life: Duration::from_millis(500),
            open_channels: 16_384,
            queue_requests: 128,
            ramp: Duration::from_secs(4),
            retry_backoff_longest: Duration::from_millis(250),
            retry_backoff_shortest: Duration::from_millis(5),
            retry_burst: 10,
            retry_per_mille: 90,
            tries: 3,
        }
    }
}
