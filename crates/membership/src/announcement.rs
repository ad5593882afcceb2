use crate::{AnnouncedState, Member, ServiceKey, UpstreamState};

/// The compact record that announces a daemon and its upstream to the whole fleet.
///
/// Only the daemon itself issues it. Its announcements are ordered by incarnation and then by
/// sequence.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Announcement {
    /// The daemon's identity, addresses and incarnation.
    pub member: Member,
    /// Increases with each announcement of one incarnation.
    pub sequence: u64,
    /// The service of its upstream, once the upstream has announced one.
    pub service: Option<ServiceKey>,
    /// The state of the daemon.
    pub state: AnnouncedState,
    /// The state of its upstream.
    pub upstream: UpstreamState,
}

impl Announcement {
    /// Returns whether the daemon or its upstream accepts no more work, which must reach the fleet
    /// within seconds.
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        self.state != AnnouncedState::Alive
            || matches!(
                self.upstream,
                UpstreamState::Leaving | UpstreamState::Refusing
            )
    }

    /// Returns whether this announcement is newer than another one of the same instance.
    #[must_use]
    pub fn overrides(&self, other: &Self) -> bool {
        (self.member.incarnation, self.sequence) > (other.member.incarnation, other.sequence)
    }
}
