use std::time::Duration;

/// A holder's answer to an entry that asked for credits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuotaGrant {
    /// The number of requests that may run.
    pub granted: u32,
    /// After what time the partition has another credit; zero if it granted all that was asked for.
    pub retry_after: Duration,
}
