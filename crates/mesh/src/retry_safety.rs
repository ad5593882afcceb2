use displaydoc::Display;

/// Whether the requests of a route may be retried after they may have run.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum RetrySafety {
    /// at most once
    AtMostOnce,
    /// idempotent
    Idempotent,
}
