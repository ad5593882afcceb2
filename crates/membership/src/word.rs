use medlarspool_types::InstanceId;

use crate::{Accusation, Announcement};

/// A piece of news.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Word {
    /// A daemon accuses another one.
    Accusation(Accusation),
    /// A daemon speaks of itself.
    Announcement(Announcement),
}

/// The most bytes of an accusation on the wire beside its instance.
const ACCUSATION_BYTES: usize = 26;

/// The most bytes of an announcement on the wire beside its texts, with IPv6 addresses.
const ANNOUNCEMENT_BYTES: usize = 96;

/// The bytes that IPv4 addresses spare an announcement.
const IPV4_SPARED_BYTES: usize = 24;

impl Word {
    /// Returns whom the word is about.
    #[must_use]
    pub fn instance(&self) -> &InstanceId {
        match self {
            Self::Accusation(accusation) => &accusation.instance,
            Self::Announcement(announcement) => &announcement.member.instance,
        }
    }

    /// Returns the most bytes that the word takes on the wire, so that datagrams can be filled.
    #[must_use]
    pub fn max_bytes(&self) -> usize {
        match self {
            Self::Accusation(accusation) => ACCUSATION_BYTES + accusation.instance.as_str().len(),
            Self::Announcement(announcement) => {
                let member = &announcement.member;
                let texts = member.instance.as_str().len()
                    + member.availability_zone.as_str().len()
                    + member.region.as_str().len();
                let spared = if member.control_address.is_ipv4() && member.call_address.is_ipv4() {
                    IPV4_SPARED_BYTES
                } else {
                    0
                };
                ANNOUNCEMENT_BYTES - spared + texts
            }
        }
    }
}
