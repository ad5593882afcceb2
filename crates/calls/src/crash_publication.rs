use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use medlarspool_types::InstanceId;

/// Tracks which of the service's other gates have yet to confirm a crash notice.
///
/// The requests that were running during the crash are answered only when all have confirmed, so that
/// a caller who retries through any other daemon reaches a gate that knows of the crash. A gate that
/// does not confirm delays the answer by no more than the timeout.
#[derive(Debug)]
pub struct CrashPublication {
    deadline: Instant,
    unconfirmed: BTreeSet<InstanceId>,
}

impl CrashPublication {
    /// Starts to wait for the confirmations of `gates`, for at most `timeout`.
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

    /// Records that the gate confirmed, or that membership declared it dead.
    pub fn confirm(&mut self, gate: &InstanceId) {
        self.unconfirmed.remove(gate);
    }

    /// Returns whether all gates have confirmed or the timeout is over, so that the requests that were running
    /// during the crash may be answered.
    #[must_use]
    pub fn is_done(&self, now: Instant) -> bool {
        self.unconfirmed.is_empty() || now >= self.deadline
    }

    /// Returns the gates to send the notice to again.
    pub fn unconfirmed(&self) -> impl Iterator<Item = &InstanceId> {
        self.unconfirmed.iter()
    }

    /// Returns when the wait ends even without further confirmations.
    #[must_use]
    pub const fn next_wakeup(&self) -> Instant {
        self.deadline
    }
}
