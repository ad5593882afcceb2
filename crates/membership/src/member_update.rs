use medlarspool_types::InstanceId;

use crate::{Accusation, Announcement};

/// An update about one member, as gossip and repair carry it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberUpdate {
    /// A daemon reports another one as suspect or dead.
    Accusation(Accusation),
    /// A daemon announces its own state.
    Announcement(Announcement),
}

impl MemberUpdate {
    /// Returns the instance that the update is about.
    #[must_use]
    pub fn instance(&self) -> &InstanceId {
        match self {
            Self::Accusation(accusation) => &accusation.instance,
            Self::Announcement(announcement) => &announcement.member.instance,
        }
    }
}
