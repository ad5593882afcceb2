use crate::{
    WireAck, WireBusy, WireDetailReply, WireDetailRequest, WireDigests, WirePing, WirePingRequest,
    WireStateReply, WireStateRequest, WireUpdates,
};

/// The closed set of messages about members.
#[derive(Clone, Eq, PartialEq, prost::Oneof)]
pub enum MembershipKind {
    /// Answers a ping.
    #[prost(message, tag = "1")]
    Ack(WireAck),
    /// Refuses a request for state for now.
    #[prost(message, tag = "2")]
    Busy(WireBusy),
    /// Answers a request for a service's detail.
    #[prost(message, tag = "3")]
    DetailReply(WireDetailReply),
    /// Asks for the detail of a service's upstreams.
    #[prost(message, tag = "4")]
    DetailRequest(WireDetailRequest),
    /// Answers a digest of the whole view.
    #[prost(message, tag = "5")]
    DigestReply(WireDigests),
    /// Compares views by their digest.
    #[prost(fixed64, tag = "6")]
    DigestRequest(u64),
    /// Pushes news.
    #[prost(message, tag = "7")]
    Gossip(WireUpdates),
    /// Says that the subject of a ping request stayed silent; the number of the ping.
    #[prost(uint64, tag = "8")]
    Nack(u64),
    /// Asks for a sign of life.
    #[prost(message, tag = "9")]
    Ping(WirePing),
    /// Asks a third daemon to ping another one.
    #[prost(message, tag = "10")]
    PingRequest(WirePingRequest),
    /// Gives records.
    #[prost(message, tag = "11")]
    StateReply(WireStateReply),
    /// Asks for records.
    #[prost(message, tag = "12")]
    StateRequest(WireStateRequest),
}
