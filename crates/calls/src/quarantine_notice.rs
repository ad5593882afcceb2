use crate::{CrashId, Fingerprint};

/// What a gate reports to the other gates of its service about requests that may crash upstreams.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuarantineNotice {
    /// A suspect was answered, so it did not cause these crashes.
    Cleared {
        /// The crashes.
        crashes: Vec<CrashId>,
        /// The request.
        fingerprint: Fingerprint,
    },
    /// An upstream crashed, which counts as evidence against these requests.
    Crashed {
        /// The crash.
        crash: CrashId,
        /// The requests that may have caused it.
        fingerprints: Vec<Fingerprint>,
    },
}
