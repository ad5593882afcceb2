use displaydoc::Display;

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum RetrySafety {
    /// at most once
    AtMostOnce,
    /// idempotent
    Idempotent,
}
