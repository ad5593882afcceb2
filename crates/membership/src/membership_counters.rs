use serde::Serialize;

/// Counts since the start of the process, for metrics and benches.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct MembershipCounters {
    /// Requests for state that were answered with `Busy`.
    pub busy_replies: u64,
    /// Members that this daemon marked as dead because its own last probe of them failed.
    pub deaths_found: u64,
    /// Digest comparisons that found a difference.
    pub digest_mismatches: u64,
    /// Digest comparisons that this daemon began.
    pub digest_requests: u64,
    /// Probes that were not answered in time.
    pub probes_failed: u64,
    /// Probes that this daemon began, each counted once however many pings it takes.
    pub probes_sent: u64,
    /// Accusations against this daemon that it refuted.
    pub refutations: u64,
    /// Reads of seed rows requested from the store.
    pub seed_reads: u64,
    /// Writes of seed rows requested from the store.
    pub seed_writes: u64,
    /// Pages of state sent to other members.
    pub state_pages_given: u64,
    /// Pages of state requested from other members.
    pub state_pages_requested: u64,
    /// Suspicions that this daemon's own probes began.
    pub suspicions_begun: u64,
    /// Suspicions that ended because the suspect announced a newer incarnation.
    pub suspicions_refuted: u64,
    /// Updates that were not newer than the member's record.
    #[serde(rename = "words_stale")]
    pub updates_stale: u64,
}
