use std::time::SystemTime;

use crate::{CallSettings, ClaimKey};

/// Finds the partitions of claim rows whose keys are all past their lifetime.
///
/// A partition is due when its last key is refused by every gate, however much their clocks differ
/// within the limit. Rows are deleted a page at a time by whoever holds the sweep's lease.
#[derive(Clone, Debug)]
pub struct ClaimSweep {
    next: SystemTime,
}

impl ClaimSweep {
    /// Starts with the partition of keys made at `oldest`.
    #[must_use]
    pub const fn new(oldest: SystemTime) -> Self {
        Self { next: oldest }
    }

    /// Returns the partition to delete rows of now, if one is due.
    #[must_use]
    pub fn due(&self, now: SystemTime, settings: &CallSettings) -> Option<String> {
        let end = ClaimKey::partition_end(self.next);
        let refused = end + settings.claim_lifetime + settings.clock_skew_limit;
        (refused <= now).then(|| ClaimKey::partition_of(self.next))
    }

    /// Takes in that the due partition is empty.
    pub fn emptied(&mut self) {
        self.next = ClaimKey::partition_end(self.next);
    }
}
