use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64;

use crate::{AccusationKind, AnnouncedState, Announcement, MemberState};

/// The newest announcement of a member, and the accusation against its incarnation, if any.
#[derive(Clone, Debug)]
pub(crate) struct Record {
    pub(crate) accusation_kind: Option<AccusationKind>,
    pub(crate) announcement: Announcement,
    /// When the announcement or the accusation last changed.
    pub(crate) changed_at: Instant,
}

impl Record {
    pub(crate) fn new(announcement: Announcement, now: Instant) -> Self {
        Self {
            accusation_kind: None,
            announcement,
            changed_at: now,
        }
    }

    /// Returns the announcement's hash, which the digest of the view includes; 0, which leaves the digest
    /// unchanged, if the member is not living.
    pub(crate) fn hash(&self) -> u64 {
        if !self.state().is_living() {
            return 0;
        }
        let parts = [
            xxh3_64(self.announcement.member.instance.as_str().as_bytes()),
            self.announcement.member.incarnation.0,
            self.announcement.sequence,
        ];
        xxh3_64(&parts.map(u64::to_le_bytes).concat())
    }

    pub(crate) fn state(&self) -> MemberState {
        match (self.accusation_kind, self.announcement.state) {
            (Some(AccusationKind::Dead), _) => MemberState::Dead,
            (_, AnnouncedState::Leaving) => MemberState::Leaving,
            (_, AnnouncedState::Left) => MemberState::Left,
            (Some(AccusationKind::Suspect), AnnouncedState::Alive) => MemberState::Suspect,
            (None, AnnouncedState::Alive) => MemberState::Alive,
        }
    }
}
