use crate::{Announcement, MemberUpdate};

/// The bytes of an announcement on the wire without its instance, integers and addresses.
const ANNOUNCEMENT_BYTES: usize = 27;

/// The bytes of an accusation on the wire without its instance and incarnation.
const ACCUSATION_BYTES: usize = 12;

/// The bytes of an entry in a datagram's list of availability zones without the names of zone and
/// region.
const ZONE_BYTES: usize = 6;

/// The bytes that remain in a datagram while updates are added to it.
///
/// A datagram names each availability zone once, so the size of an announcement depends on the
/// announcements that were added before it.
#[derive(Debug)]
pub(crate) struct DatagramSpace<'updates> {
    remaining_bytes: usize,
    /// The availability zones that the datagram already names, each with its region.
    zones: Vec<(&'updates str, &'updates str)>,
}

impl<'updates> DatagramSpace<'updates> {
    pub(crate) fn new(free_bytes: usize) -> Self {
        Self {
            remaining_bytes: free_bytes,
            zones: Vec::new(),
        }
    }

    /// Reserves the bytes of an update if it fits, and returns whether it did.
    pub(crate) fn try_reserve(&mut self, update: &'updates MemberUpdate) -> bool {
        let update_bytes = match update {
            MemberUpdate::Accusation(accusation) => {
                ACCUSATION_BYTES
                    + accusation.instance.as_str().len()
                    + varint_bytes(accusation.incarnation.0)
            }
            MemberUpdate::Announcement(announcement) => {
                announcement_bytes(announcement) + self.zone_bytes(announcement)
            }
        };
        let fits = update_bytes <= self.remaining_bytes;
        if fits {
            self.remaining_bytes -= update_bytes;
            if let MemberUpdate::Announcement(announcement) = update {
                self.add_zone(announcement);
            }
        }
        fits
    }

    /// Returns an upper bound of the bytes that the given updates take on the wire.
    pub(crate) fn bytes_of(updates: &'updates [MemberUpdate]) -> usize {
        let mut space = Self::new(usize::MAX);
        for update in updates {
            space.try_reserve(update);
        }
        usize::MAX - space.remaining_bytes
    }

    /// Returns how many updates from the front fit into `max_bytes`; 1 if not even the first fits.
    pub(crate) fn count_fitting(updates: &'updates [MemberUpdate], max_bytes: usize) -> usize {
        let mut space = Self::new(max_bytes);
        let fitting = updates
            .iter()
            .take_while(|update| space.try_reserve(update));
        fitting.count().max(1)
    }

    fn add_zone(&mut self, announcement: &'updates Announcement) {
        let zone = zone(announcement);
        if !self.zones.contains(&zone) {
            self.zones.push(zone);
        }
    }

    fn zone_bytes(&self, announcement: &Announcement) -> usize {
        let zone = zone(announcement);
        if self.zones.contains(&zone) {
            return 0;
        }
        ZONE_BYTES + zone.0.len() + zone.1.len()
    }
}

fn announcement_bytes(announcement: &Announcement) -> usize {
    let member = &announcement.member;
    let control_bytes = ip_bytes(member.control_address);
    let call_bytes = if member.call_address.ip() == member.control_address.ip() {
        0
    } else {
        ip_bytes(member.call_address)
    };
    ANNOUNCEMENT_BYTES
        + member.instance.as_str().len()
        + varint_bytes(member.incarnation.0)
        + varint_bytes(announcement.sequence)
        + control_bytes
        + call_bytes
}

/// Returns the bytes that an IP address with its field's tag and length takes on the wire.
fn ip_bytes(address: medlarspool_types::Address) -> usize {
    if address.is_ipv4() { 6 } else { 18 }
}

/// Returns the bytes that an integer takes as a protobuf varint.
fn varint_bytes(value: u64) -> usize {
    let bits = u64::BITS - value.leading_zeros();
    usize::try_from(bits.div_ceil(7)).unwrap_or_default().max(1)
}

/// Returns the availability zone and the region of an announcement's member.
fn zone(announcement: &Announcement) -> (&str, &str) {
    let member = &announcement.member;
    (member.availability_zone.as_str(), member.region.as_str())
}
