use std::time::Duration;

use medlarspool_types::InstanceId;

/// Whether a gate may run a request, given the crashes that count as evidence against it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuarantineCheck {
    /// It may run.
    Admit,
    /// It is a suspect and may run here, as the only suspect at this gate.
    AdmitSuspect,
    /// It is a suspect, and another suspect is running here; it may run after that one.
    Busy,
    /// It is a suspect, and only the gate of this instance runs it.
    Redirect(InstanceId),
    /// Two crashes count as evidence against it, so it is refused.
    Refuse {
        /// The time until all evidence against it has expired.
        retry_after: Duration,
    },
}
