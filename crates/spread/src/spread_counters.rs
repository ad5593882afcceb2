use serde::Serialize;

use crate::Refusal;

/// What the core has counted since it began; each only grows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct SpreadCounters {
    /// Versions taken into use.
    pub applied: u64,
    /// Heads seen with the held version but another digest.
    pub conflicts: u64,
    /// Checks that found the lists in use damaged.
    pub damaged: u64,
    /// Transfers asked of peers.
    pub peer_fetches: u64,
    /// Pulls sent.
    pub pulls: u64,
    /// Lists not taken, by the order of [`Refusal::ALL`].
    pub refused: [u64; Refusal::ALL.len()],
    /// Heads from the store that were older than the lists in use.
    pub store_behind: u64,
    /// Reads of the head that failed.
    pub store_failures: u64,
    /// Whole lists asked of the object store.
    pub store_fetches: u64,
    /// Reads of the head.
    pub store_reads: u64,
    /// Transfers refused because too many were in flight.
    pub transfers_busy: u64,
    /// Transfers given.
    pub transfers_granted: u64,
}
