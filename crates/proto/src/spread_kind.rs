use crate::{SpreadOffer, WireHead};

/// The kinds of messages about changes of the configuration.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum SpreadKind {
    /// Announces the sender's head, which the datagram carries anyway; the value says whether the receiver
    /// sends a digest back even if it has no newer version.
    #[prost(bool, tag = "1")]
    Digest(bool),
    /// Carries consecutive updates.
    #[prost(message, tag = "2")]
    Offer(SpreadOffer),
    /// Requests the updates after this version.
    #[prost(message, tag = "3")]
    Pull(WireHead),
    /// Asks the receiver to request a transfer over gRPC; the value is always true.
    #[prost(bool, tag = "4")]
    Referral(bool),
}
