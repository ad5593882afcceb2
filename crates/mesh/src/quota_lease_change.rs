use displaydoc::Display;

/// What happened to the lease of a partition at this daemon.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum QuotaLeaseChange {
    /// claimed
    Claimed,
    /// expired
    Expired,
    /// incarnation-raised
    IncarnationRaised,
    /// lost
    Lost,
    /// released
    Released,
}
