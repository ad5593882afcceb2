use displaydoc::Display;

/// Why there is no answer.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum ExchangeError {
    /// the answer is not valid
    Garbled,
    /// the connection was lost after something was sent
    Lost,
    /// the client's body broke off
    RequestBroken,
    /// no sign of the request's arrival
    Silent,
}
