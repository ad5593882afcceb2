use prost::Message;

/// An availability zone and its region, sent once in a datagram for all announcements that refer to it.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct WireZone {
    /// The name of the availability zone.
    #[prost(string, tag = "1")]
    pub availability_zone: String,
    /// The region of the availability zone.
    #[prost(string, tag = "2")]
    pub region: String,
}
