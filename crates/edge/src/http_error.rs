use displaydoc::Display;

/// Why a message is not taken.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum HttpError {
    /// the body is longer than allowed
    BodyTooLong,
    /// the message can't be read unambiguously
    Malformed,
    /// the header is longer than allowed
    HeaderTooLong,
    /// the message did not come in time
    TooSlow,
}

impl HttpError {
    /// Returns the status that tells a client of the fault.
    pub(crate) const fn status(self) -> u16 {
        match self {
            Self::BodyTooLong => 413,
            Self::HeaderTooLong => 431,
            Self::Malformed => 400,
            Self::TooSlow => 408,
        }
    }
}
