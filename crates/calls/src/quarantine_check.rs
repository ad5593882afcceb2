use std::time::Duration;

use medlarspool_types::InstanceId;

/// Whether a gate may run a request, as far as crashes are concerned.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuarantineCheck {
    /// It may run.
    Admit,
    /// It is suspected and may run here, as the only suspect at this gate.
    AdmitSuspect,
    /// It is suspected, and another suspect runs here; it may wait.
    Busy,
    /// It is suspected and only this instance's gate runs it.
    Redirect(InstanceId),
    /// It crashed two upstreams and is refused.
    Refuse {
        /// Until the evidence ends.
        retry_after: Duration,
    },
}
