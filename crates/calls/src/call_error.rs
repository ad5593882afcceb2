use displaydoc::Display;

/// Why a text that travels with a call or stands in the table was refused.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum CallError {
    /// `{0}` is not a claim row
    ClaimRow(String),
    /// `{0}` is not a request context
    Context(String),
    /// `{0}` is not a UUID of version 7, as an idempotency key must be
    Key(String),
}

impl std::error::Error for CallError {}
