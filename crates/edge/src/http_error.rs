use displaydoc::Display;

/// Why an HTTP message is rejected.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum HttpError {
    /// the body is longer than allowed
    BodyTooLong,
    /// the header is longer than allowed
    HeaderTooLong,
    /// the connection ended before the message did
    Incomplete,
    /// the message can't be read unambiguously
    Malformed,
    /// the message did not come in time
    TooSlow,
}

impl HttpError {
    /// Returns the status of the response to a request with this error.
    pub(crate) const fn status(self) -> u16 {
        match self {
            Self::BodyTooLong => 413,
            Self::HeaderTooLong => 431,
            Self::Incomplete | Self::Malformed => 400,
            Self::TooSlow => 408,
        }
    }
}
