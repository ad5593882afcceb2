use prost::Message;

use crate::{WireDetail, WireUpdates};

/// Acknowledges a ping.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct WireAck {
    /// The number of the ping, or of the requester's probe if relayed.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Whether the ack answers an indirect probe and is forwarded by the peer that sent the ping.
    #[prost(bool, tag = "2")]
    pub relayed: bool,
    /// Piggybacked updates.
    #[prost(message, optional, tag = "3")]
    pub updates: Option<WireUpdates>,
}

/// Refuses a request for state until later.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct WireBusy {
    /// How long to wait before the next request, in milliseconds.
    #[prost(uint64, tag = "1")]
    pub retry_after_ms: u64,
    /// Announcements of other members to ask.
    #[prost(message, optional, tag = "2")]
    pub updates: Option<WireUpdates>,
}

/// Answers a request for the details of a service's upstreams.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct WireDetailReply {
    /// The details of the service's upstreams; none if the replying daemon does not route to it.
    #[prost(message, repeated, tag = "1")]
    pub details: Vec<WireDetail>,
    /// The name of the service that was asked for.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Announcements of members with an upstream of the service, if the replying daemon does not route to
    /// it.
    #[prost(message, optional, tag = "3")]
    pub updates: Option<WireUpdates>,
}

/// Requests the details of a service's upstreams.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct WireDetailRequest {
    /// The digest of the details that the requester has.
    #[prost(fixed64, tag = "1")]
    pub digest: u64,
    /// The name of the service.
    #[prost(string, tag = "2")]
    pub service: String,
}

/// Answers the digest of a whole view, to find the buckets that differ.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct WireDigests {
    /// The digest of each bucket in ascending order, or none if the views are the same.
    #[prost(fixed32, repeated, tag = "1")]
    pub buckets: Vec<u32>,
}

/// Probes a member.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct WirePing {
    /// The number that the ack repeats.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Piggybacked updates.
    #[prost(message, optional, tag = "2")]
    pub updates: Option<WireUpdates>,
}

/// Asks a peer to ping the subject of an indirect probe.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct WirePingRequest {
    /// The IP address of the subject, 4 or 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub ip: Vec<u8>,
    /// The number of the requester's probe.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// The port of the subject.
    #[prost(uint32, tag = "3")]
    pub port: u32,
    /// The instance of the member to ping.
    #[prost(string, tag = "4")]
    pub subject: String,
}

/// Answers a request for state.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct WireStateReply {
    /// The buckets whose records have all been sent with this message, as a bit set of four 64-bit words.
    /// The set is empty if further messages with records of the same bucket follow.
    #[prost(fixed64, repeated, tag = "1")]
    pub buckets: Vec<u64>,
    /// Records of the requested buckets.
    #[prost(message, optional, tag = "2")]
    pub updates: Option<WireUpdates>,
}

/// Requests the records of buckets.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct WireStateRequest {
    /// The requester's announcement, so that a joining daemon becomes known at once.
    #[prost(message, optional, tag = "1")]
    pub announcement: Option<WireUpdates>,
    /// The buckets that the requester still lacks, as a bit set of four 64-bit words.
    #[prost(fixed64, repeated, tag = "2")]
    pub buckets: Vec<u64>,
}
