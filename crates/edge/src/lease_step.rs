use std::time::Duration;

use medlarspool_mesh::QuotaLeaseCall;

/// What the task that keeps the leases does next.
#[derive(Clone, Debug)]
pub(crate) enum LeaseStep {
    /// It makes a call to the store.
    Call(QuotaLeaseCall),
    /// It waits for this time, or until it is notified if there is none.
    Wait(Option<Duration>),
}
