use serde::Serialize;

/// Counts since the start of the process, for metrics and benches.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct MembershipCounters {
    /// Requests for state that were told to come back later.
    pub busy_replies: u64,
    /// Members that this daemon itself found dead.
    pub deaths_found: u64,
    /// Digest comparisons that found a difference.
    pub digest_mismatches: u64,
    /// Digest comparisons that this daemon began.
    pub digest_requests: u64,
    /// Probes that went unanswered.
    pub probes_failed: u64,
    /// Probes begun.
    pub probes_sent: u64,
    /// Accusations against this daemon that it refuted.
    pub refutations: u64,
    /// Reads of seed rows asked for.
    pub seed_reads: u64,
    /// Writes of seed rows asked for.
    pub seed_writes: u64,
    /// Pages of state given to others.
    pub state_pages_given: u64,
    /// Pages of state asked for.
    pub state_pages_requested: u64,
    /// Suspicions that this daemon itself began.
    pub suspicions_begun: u64,
    /// Suspicions ended by a newer life or word of the suspect.
    pub suspicions_refuted: u64,
    /// Words that were older than what is held.
    #[serde(rename = "words_stale")]
    pub updates_stale: u64,
}
