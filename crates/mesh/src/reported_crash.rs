use std::time::Duration;

use crate::CrashEvidence;

/// A crash as daemons tell each other of it, for one of the requests that ran at the target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReportedCrash {
    /// How long ago it was.
    pub age: Duration,
    /// What it says about the request.
    pub evidence: CrashEvidence,
    /// The request.
    pub fingerprint: u64,
    /// The same in all reports of a crash, so that it counts once.
    pub id: u64,
}
