use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use medlarspool_types::InstanceId;

/// Waits until the service's other gates have confirmed a crash notice.
///
/// Only then are the requests that were running answered, so that a caller who sends one again
/// through any other daemon meets a gate that knows of the crash. A gate that stays silent delays
/// the answer only until the timeout.
#[derive(Debug)]
pub struct CrashPublication {
    deadline: Instant,
    unconfirmed: BTreeSet<InstanceId>,
}

impl CrashPublication {
    /// Starts with the gates that must confirm.
    #[must_use]
    pub fn new(
        now: Instant,
        timeout: Duration,
        gates: impl IntoIterator<Item = InstanceId>,
    ) -> Self {
        Self {
            deadline: now + timeout,
            unconfirmed: gates.into_iter().collect(),
        }
    }

    /// Takes in a confirmation, or that membership declared the gate dead.
    pub fn confirm(&mut self, gate: &InstanceId) {
        self.unconfirmed.remove(gate);
    }

    /// Returns whether the requests may be answered now.
    #[must_use]
    pub fn is_done(&self, now: Instant) -> bool {
        self.unconfirmed.is_empty() || now >= self.deadline
    }

    /// Returns the gates to send the notice to again.
    pub fn unconfirmed(&self) -> impl Iterator<Item = &InstanceId> {
        self.unconfirmed.iter()
    }

    /// Returns when the wait ends at the latest.
    #[must_use]
    pub const fn next_wakeup(&self) -> Instant {
        self.deadline
    }
}
