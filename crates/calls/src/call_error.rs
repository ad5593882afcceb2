use displaydoc::Display;

/// Why a text from a request's header or from a claim row could not be parsed.
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
