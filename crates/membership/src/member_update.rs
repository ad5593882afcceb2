use medlarspool_types::InstanceId;

use crate::{Accusation, Announcement};

/// A piece of news.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MemberUpdate {
    /// A daemon accuses another one.
    Accusation(Accusation),
    /// A daemon speaks of itself.
    Announcement(Announcement),
}

impl MemberUpdate {
    /// Returns whom the word is about.
    #[must_use]
    pub fn instance(&self) -> &InstanceId {
        match self {
            Self::Accusation(accusation) => &accusation.instance,
            Self::Announcement(announcement) => &announcement.member.instance,
        }
    }
}
