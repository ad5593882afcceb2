use displaydoc::Display;

/// Why an exchange has no response.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum ExchangeError {
    /// the answer is not valid
    InvalidResponse,
    /// the connection was lost after something was sent
    ConnectionLost,
    /// the client's body broke off
    RequestBodyAborted,
    /// the answer on a connection that was used before names no request
    Unidentified,
}
