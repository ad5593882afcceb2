use serde::Serialize;

use crate::Refusal;

/// Counters of [`crate::Spread`] since the process started; they only grow.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct SpreadCounters {
    /// Versions taken into use.
    pub applied: u64,
    /// Heads with the version in use but another digest. Each one that the store returns counts; of
    /// those that peers announce, only the first for each version in use.
    pub conflicts: u64,
    /// Checks that found the lists in use damaged.
    pub damaged: u64,
    /// Transfers requested from peers.
    pub peer_fetches: u64,
    /// Pulls sent.
    pub pulls: u64,
    /// Lists that were not taken into use, by reason in the order of [`Refusal::ALL`].
    pub refused: [u64; Refusal::ALL.len()],
    /// Heads from the store with an older version than the one in use.
    pub store_behind: u64,
    /// Reads of the store's head that failed.
    pub store_failures: u64,
    /// Whole lists requested from the object store.
    pub store_fetches: u64,
    /// Reads of the store's head.
    pub store_reads: u64,
    /// Transfers refused because too many were in flight or the daemon wasn't ready.
    pub transfers_busy: u64,
    /// Transfers granted.
    pub transfers_granted: u64,
}
