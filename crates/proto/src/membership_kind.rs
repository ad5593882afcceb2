use crate::{
    WireAck, WireBusy, WireDetailReply, WireDetailRequest, WireDigests, WirePing, WirePingRequest,
    WireStateReply, WireStateRequest, WireUpdates,
};

/// The kinds of messages about members.
#[derive(Clone, Eq, PartialEq, prost::Oneof)]
pub enum MembershipKind {
    /// Acknowledges a ping.
    #[prost(message, tag = "1")]
    Ack(WireAck),
    /// Refuses a request for state until later.
    #[prost(message, tag = "2")]
    Busy(WireBusy),
    /// Answers a request for the details of a service's upstreams.
    #[prost(message, tag = "3")]
    DetailReply(WireDetailReply),
    /// Requests the details of a service's upstreams.
    #[prost(message, tag = "4")]
    DetailRequest(WireDetailRequest),
    /// Answers the digest of a whole view with the digests of all buckets.
    #[prost(message, tag = "5")]
    DigestReply(WireDigests),
    /// Compares the views of two members: the digest of the sender's view.
    #[prost(fixed64, tag = "6")]
    DigestRequest(u64),
    /// Pushes updates.
    #[prost(message, tag = "7")]
    Gossip(WireUpdates),
    /// Reports that the subject of a ping request did not answer: the number of the requester's
    /// probe.
    #[prost(uint64, tag = "8")]
    Nack(u64),
    /// Probes a member.
    #[prost(message, tag = "9")]
    Ping(WirePing),
    /// Asks a peer to ping the subject of an indirect probe.
    #[prost(message, tag = "10")]
    PingRequest(WirePingRequest),
    /// Answers a request for state.
    #[prost(message, tag = "11")]
    StateReply(WireStateReply),
    /// Requests the records of buckets.
    #[prost(message, tag = "12")]
    StateRequest(WireStateRequest),
}
