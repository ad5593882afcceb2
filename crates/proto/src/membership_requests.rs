use prost::Message;

use crate::{WireDetail, WireUpdates};

/// Answers a ping.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct WireAck {
    /// The number of the ping.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Whether a third daemon passes the answer on.
    #[prost(bool, tag = "2")]
    pub relayed: bool,
    /// News.
    #[prost(message, optional, tag = "3")]
    pub updates: Option<WireUpdates>,
}

/// Refuses a request for state for now.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct WireBusy {
    /// When to come back, in milliseconds.
    #[prost(uint64, tag = "1")]
    pub retry_after_ms: u64,
    /// Others to ask.
    #[prost(message, optional, tag = "2")]
    pub updates: Option<WireUpdates>,
}

/// Answers a request for a service's detail.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct WireDetailReply {
    /// The detail of its upstreams.
    #[prost(message, repeated, tag = "1")]
    pub details: Vec<WireDetail>,
    /// The service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Members with an upstream of the service.
    #[prost(message, optional, tag = "3")]
    pub updates: Option<WireUpdates>,
}

/// Asks for the detail of a service's upstreams.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct WireDetailRequest {
    /// The digest of the detail that the asker holds.
    #[prost(fixed64, tag = "1")]
    pub digest: u64,
    /// The service.
    #[prost(string, tag = "2")]
    pub service: String,
}

/// Answers a digest of the whole view.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct WireDigests {
    /// The digest of each bucket, or nothing if the views are the same.
    #[prost(fixed32, repeated, tag = "1")]
    pub buckets: Vec<u32>,
}

/// Asks for a sign of life.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct WirePing {
    /// The number that the answer carries.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// News.
    #[prost(message, optional, tag = "2")]
    pub updates: Option<WireUpdates>,
}

/// Asks a third daemon to ping another one.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct WirePingRequest {
    /// The IP address of the subject, 4 or 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub ip: Vec<u8>,
    /// The number of the asker's ping.
    #[prost(uint64, tag = "2")]
    pub number: u64,
    /// The port of the subject.
    #[prost(uint32, tag = "3")]
    pub port: u32,
    /// Who to ping.
    #[prost(string, tag = "4")]
    pub subject: String,
}

/// Gives records.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct WireStateReply {
    /// The buckets that this completes, as four words of a bit set.
    #[prost(fixed64, repeated, tag = "1")]
    pub buckets: Vec<u64>,
    /// The records.
    #[prost(message, optional, tag = "2")]
    pub updates: Option<WireUpdates>,
}

/// Asks for records.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct WireStateRequest {
    /// The asker's announcement.
    #[prost(message, optional, tag = "1")]
    pub announcement: Option<WireUpdates>,
    /// The buckets wanted, as four words of a bit set.
    #[prost(fixed64, repeated, tag = "2")]
    pub buckets: Vec<u64>,
}
