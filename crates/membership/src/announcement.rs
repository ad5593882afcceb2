use crate::{AnnouncedState, Member, ServiceKey, UpstreamState};

/// The compact record by which a daemon makes itself and its upstream known to the whole fleet.
///
/// Only the daemon itself issues it. Words are ordered by incarnation and then by sequence.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Announcement {
    /// Who and where the daemon is, and which life of it speaks.
    pub member: Member,
    /// Counts the announcements within one incarnation.
    pub sequence: u64,
    /// The service of its upstream, once one was announced.
    pub service: Option<ServiceKey>,
    /// Whether the daemon serves.
    pub state: AnnouncedState,
    /// Whether its upstream serves.
    pub upstream: UpstreamState,
}

impl Announcement {
    /// Returns whether no work may be given any more, which the fleet must hear within seconds.
    #[must_use]
    pub fn is_urgent(&self) -> bool {
        self.state != AnnouncedState::Alive
            || matches!(
                self.upstream,
                UpstreamState::Leaving | UpstreamState::Refusing
            )
    }

    /// Returns whether this announcement overrules another one of the same instance.
    #[must_use]
    pub fn overrides(&self, other: &Self) -> bool {
        (self.member.incarnation, self.sequence) > (other.member.incarnation, other.sequence)
    }
}
