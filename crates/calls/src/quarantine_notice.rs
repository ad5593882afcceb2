use crate::{CrashId, Fingerprint};

/// What the gates of a service tell each other about requests that crash upstreams.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum QuarantineNotice {
    /// A request ran to its end, so these crashes were not its doing.
    Cleared {
        /// The crashes.
        crashes: Vec<CrashId>,
        /// The request.
        fingerprint: Fingerprint,
    },
    /// An upstream crashed while it ran these requests.
    Crashed {
        /// The crash.
        crash: CrashId,
        /// The requests.
        fingerprints: Vec<Fingerprint>,
    },
}
