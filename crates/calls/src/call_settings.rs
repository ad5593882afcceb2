use std::time::Duration;

/// The limits of all call decisions of one daemon, built once from its settings and passed down.
#[derive(Clone, Debug)]
pub struct CallSettings {
    /// How long a gate keeps the answer of a finished call, for an entry that lost it.
    pub answer_retention: Duration,
    /// How long the first ejection of an upstream lasts. Each further one lasts twice as long, unless
    /// answers undo the doubling; see [`crate::Ejection`].
    pub base_ejection: Duration,
    /// The upper bound of the random back-off before the first retry; each further attempt doubles it.
    pub base_retry_backoff: Duration,
    /// The most claim writes in one table transaction.
    pub claim_batch_rows: usize,
    /// The shortest time between the starts of two claim transactions of one gate.
    pub claim_interval: Duration,
    /// How long an idempotency key is valid, counted from the time that it carries.
    pub claim_lifetime: Duration,
    /// The mean time between two sweeps of old claim rows, over the whole fleet.
    pub claim_sweep_interval: Duration,
    /// The most claim rows that one sweep reads and deletes.
    pub claim_sweep_rows: usize,
    /// The largest difference between the system clocks of two machines. Keys may lie this far in the
    /// future, and rows are kept this much longer than their keys are valid.
    pub clock_skew_limit: Duration,
    /// How long a gate waits for other gates to confirm a crash notice before it answers the requests
    /// that were running.
    pub crash_publish_timeout: Duration,
    /// How long a crash counts as evidence against the requests that were running.
    pub crash_retention: Duration,
    /// What is added to the expected latency of upstreams outside the entry's availability zone before
    /// upstreams are compared.
    pub cross_zone_cost: Duration,
    /// How many failures without an answer in between eject an upstream; during a trial one is enough.
    pub ejection_threshold: u32,
    /// How long a gate keeps the record of a call's fate, counted from the call's arrival. The
    /// record of a call that waits or runs is kept even longer, until the call ends.
    pub fate_retention: Duration,
    /// The half-life of load reports and of measured latencies.
    pub load_half_life: Duration,
    /// The most bytes of answers that a gate keeps; the oldest are dropped first.
    pub max_answers_bytes: usize,
    /// The most attempts for a request at one hop, the first one included.
    pub max_attempts: u32,
    /// The most claim writes that one attempt submits before it is refused; after a conflict or an
    /// unknown outcome it may have to write again.
    pub max_claim_writes: u32,
    /// The most requests with crash evidence at one gate; the oldest are dropped first.
    pub max_crash_records: usize,
    /// The most decisions that are kept for the dump.
    pub max_decisions: usize,
    /// The largest share of a service's upstreams that may be ejected at once, in percent.
    pub max_ejected_percent: u32,
    /// The longest ejection of an upstream, after which it gets its next trial.
    pub max_ejection: Duration,
    /// The most fate records of a gate. Beyond it the oldest are evicted, which shortens the time
    /// for which fates are known but never makes a reported fate wrong.
    pub max_fates: usize,
    /// The most channels that a gate keeps open; the oldest is closed first.
    pub max_open_channels: usize,
    /// The most requests in the queue of one gate.
    pub max_queued_requests: usize,
    /// The upper bound of the back-off before any retry.
    pub max_retry_backoff: Duration,
    /// How many retries a full retry budget holds.
    pub retry_burst: u32,
    /// How many retries are allowed for each thousand calls at the first entry; see
    /// [`crate::RetryBudget`].
    pub retry_per_mille: u32,
    /// How long after its first announcement an upstream gets less than its full share of calls.
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
