use displaydoc::Display;

/// Why a call to the platform failed, and whether a write may have taken effect.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum PlatformError {
    /// the condition on row `{key}` does not hold; nothing was written
    Conflict {
        /// The key of the first row whose precondition does not hold.
        key: String,
    },
    /// a request to the platform or its answer is malformed: {0}
    Malformed(String),
    /// the outcome of the write is not known: {0}
    OutcomeUnknown(String),
    /// the platform refused the token; nothing was written
    Unauthorized,
    /// the platform is not available; nothing was written: {0}
    Unavailable(String),
}

impl std::error::Error for PlatformError {}
