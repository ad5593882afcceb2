use medlarspool_membership::{Accusation, MemberUpdate};
use prost::Message;

use crate::{ProtoError, WireAccusation, WireAnnouncement, WireZone};

/// Updates about members on the wire.
///
/// Announcements are decoded before accusations, which may be about the announced incarnations.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct WireUpdates {
    /// Reports of daemons about others.
    #[prost(message, repeated, tag = "1")]
    pub accusations: Vec<WireAccusation>,
    /// Announcements of daemons about themselves.
    #[prost(message, repeated, tag = "2")]
    pub announcements: Vec<WireAnnouncement>,
    /// The availability zones that the announcements refer to by index.
    #[prost(message, repeated, tag = "3")]
    pub zones: Vec<WireZone>,
}

impl WireUpdates {
    /// Returns the wire form of updates, or nothing if there are none.
    pub(crate) fn from_updates(updates: &[MemberUpdate]) -> Option<Self> {
        if updates.is_empty() {
            return None;
        }
        let mut wire = Self::default();
        for update in updates {
            match update {
                MemberUpdate::Accusation(accusation) => wire.accusations.push(accusation.into()),
                MemberUpdate::Announcement(announcement) => {
                    let announcement =
                        WireAnnouncement::from_announcement(announcement, &mut wire.zones);
                    wire.announcements.push(announcement);
                }
            }
        }
        Some(wire)
    }

    /// Returns the updates, or an error if a value is not valid.
    pub(crate) fn into_updates(wire: Option<Self>) -> Result<Vec<MemberUpdate>, ProtoError> {
        let Some(wire) = wire else {
            return Ok(Vec::new());
        };
        let mut updates = Vec::new();
        for announcement in wire.announcements {
            updates.push(MemberUpdate::Announcement(
                announcement.into_announcement(&wire.zones)?,
            ));
        }
        for accusation in wire.accusations {
            updates.push(MemberUpdate::Accusation(Accusation::try_from(accusation)?));
        }
        Ok(updates)
    }
}

/// Parses an id or a name.
///
/// Returns [`ProtoError::Member`] with the text if it is not valid.
pub(crate) fn parse_id<Id: TryFrom<String>>(text: String) -> Result<Id, ProtoError> {
    Id::try_from(text.clone()).map_err(|_| ProtoError::Member(text))
}
