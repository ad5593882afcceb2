use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

use medlarspool_membership::{Announcement, Member, ServiceKey};
use medlarspool_types::{Address, Incarnation};
use prost::Message;

use crate::{
    ProtoError, WireAnnouncedState, WireUpstreamState, WireZone, membership_updates::parse_id,
};

/// An [`Announcement`] on the wire.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct WireAnnouncement {
    /// The IP address for calls, 4 or 16 bytes; empty if it is the same as the one for datagrams.
    #[prost(bytes = "vec", tag = "1")]
    pub call_ip: Vec<u8>,
    /// The port for calls.
    #[prost(uint32, tag = "2")]
    pub call_port: u32,
    /// The IP address for datagrams, 4 or 16 bytes.
    #[prost(bytes = "vec", tag = "3")]
    pub control_ip: Vec<u8>,
    /// The port for datagrams.
    #[prost(uint32, tag = "4")]
    pub control_port: u32,
    /// The daemon's incarnation.
    #[prost(uint64, tag = "5")]
    pub incarnation: u64,
    /// The daemon's instance.
    #[prost(string, tag = "6")]
    pub instance: String,
    /// Increases with each announcement of this incarnation.
    #[prost(uint64, tag = "7")]
    pub sequence: u64,
    /// The hash of the upstream's service; absent until the upstream has announced one.
    #[prost(fixed32, optional, tag = "8")]
    pub service: Option<u32>,
    /// The state of the daemon.
    #[prost(enumeration = "WireAnnouncedState", tag = "9")]
    pub state: i32,
    /// The state of the upstream beside the daemon.
    #[prost(enumeration = "WireUpstreamState", tag = "10")]
    pub upstream: i32,
    /// The index of the availability zone in [`WireUpdates::zones`](crate::WireUpdates::zones).
    #[prost(uint32, tag = "11")]
    pub zone_index: u32,
}

impl WireAnnouncement {
    /// Returns the wire form of an announcement; adds its availability zone to `zones` if it is missing there.
    pub(crate) fn from_announcement(
        announcement: &Announcement,
        zones: &mut Vec<WireZone>,
    ) -> Self {
        let member = &announcement.member;
        let (call_address, control_address) = (member.call_address, member.control_address);
        let call_ip = if call_address.ip() == control_address.ip() {
            Vec::new()
        } else {
            encode_ip(call_address.ip())
        };
        Self {
            call_ip,
            call_port: call_address.port().into(),
            control_ip: encode_ip(control_address.ip()),
            control_port: control_address.port().into(),
            incarnation: member.incarnation.0,
            instance: member.instance.to_string(),
            sequence: announcement.sequence,
            service: announcement.service.map(|service| service.0),
            state: WireAnnouncedState::from(announcement.state).into(),
            upstream: WireUpstreamState::from(announcement.upstream).into(),
            zone_index: find_or_add_zone(member, zones),
        }
    }

    /// Returns the announcement, whose `zone_index` refers to `zones`, or an error if a value is not valid.
    pub(crate) fn into_announcement(self, zones: &[WireZone]) -> Result<Announcement, ProtoError> {
        let zone = usize::try_from(self.zone_index)
            .ok()
            .and_then(|zone| zones.get(zone));
        let zone = zone.ok_or_else(|| ProtoError::Member(self.zone_index.to_string()))?;
        let call_ip = if self.call_ip.is_empty() {
            &self.control_ip
        } else {
            &self.call_ip
        };
        Ok(Announcement {
            member: Member {
                availability_zone: parse_id(zone.availability_zone.clone())?,
                call_address: decode_address(call_ip, self.call_port)?,
                control_address: decode_address(&self.control_ip, self.control_port)?,
                incarnation: Incarnation(self.incarnation),
                instance: parse_id(self.instance.clone())?,
                region: parse_id(zone.region.clone())?,
            },
            sequence: self.sequence,
            service: self.service.map(ServiceKey),
            state: self.state().into(),
            upstream: self.upstream().into(),
        })
    }
}

/// Decodes an IP address of 4 or 16 bytes and a port.
pub(crate) fn decode_address(ip: &[u8], port: u32) -> Result<Address, ProtoError> {
    let port = u16::try_from(port).map_err(|_| ProtoError::Member(port.to_string()))?;
    let v4 = <[u8; 4]>::try_from(ip).map(|bytes| IpAddr::from(Ipv4Addr::from(bytes)));
    let v6 = || <[u8; 16]>::try_from(ip).map(|bytes| IpAddr::from(Ipv6Addr::from(bytes)));
    let ip = v4
        .or_else(|_| v6())
        .map_err(|_| ProtoError::Member(format!("{ip:?}")))?;
    Ok(Address::new(ip, port))
}

/// Returns the bytes of an IP address.
pub(crate) fn encode_ip(ip: IpAddr) -> Vec<u8> {
    match ip {
        IpAddr::V4(ip) => ip.octets().to_vec(),
        IpAddr::V6(ip) => ip.octets().to_vec(),
    }
}

/// Returns the index of a member's availability zone in `zones`, to which it is added if it is missing.
fn find_or_add_zone(member: &Member, zones: &mut Vec<WireZone>) -> u32 {
    let is_zone = |zone: &WireZone| {
        zone.availability_zone == member.availability_zone.as_str()
            && zone.region == member.region.as_str()
    };
    let position = zones.iter().position(is_zone).unwrap_or_else(|| {
        zones.push(WireZone {
            availability_zone: member.availability_zone.to_string(),
            region: member.region.to_string(),
        });
        zones.len() - 1
    });
    u32::try_from(position).unwrap_or(u32::MAX)
}
