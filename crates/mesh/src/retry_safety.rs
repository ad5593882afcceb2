use displaydoc::Display;

/// Whether the requests of a route are sent again although they ran with an error or may have run.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum RetrySafety {
    /// at most once
    AtMostOnce,
    /// idempotent
    Idempotent,
}
