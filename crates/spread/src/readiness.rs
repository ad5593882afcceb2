use displaydoc::Display;

/// Whether a daemon may serve with its lists, and why.
///
/// `docs/design/spread.md` states the guarantee behind each reason.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum Readiness {
    /// waiting for the store to return the head
    AwaitingHead,
    /// waiting for the lists of the confirmed version
    AwaitingLists,
    /// the store is down and peers of fewer than two availability zones have answered
    AwaitingPeers,
    /// the store and this daemon hold different lists for one version
    Conflict,
    /// the lists in use don't match their digest
    Damaged,
    /// the store holds no lists yet
    NoLists,
    /// ready, confirmed by peers of the only availability zone that is known
    ReadyByOneZone,
    /// ready, confirmed by peers of two availability zones
    ReadyByPeers,
    /// ready, confirmed by the store
    ReadyByStore,
}

impl Readiness {
    /// Returns whether calls may be served.
    #[must_use]
    pub const fn is_ready(self) -> bool {
        matches!(
            self,
            Self::ReadyByOneZone | Self::ReadyByPeers | Self::ReadyByStore
        )
    }
}
