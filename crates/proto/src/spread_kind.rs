use crate::{SpreadOffer, WireHead};

/// The closed set of messages about changes.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum SpreadKind {
    /// Shows the sender's head; whether an answer is wanted in any case.
    #[prost(bool, tag = "1")]
    Digest(bool),
    /// Hands on updates.
    #[prost(message, tag = "2")]
    Offer(SpreadOffer),
    /// Asks for the updates after this version.
    #[prost(message, tag = "3")]
    Pull(WireHead),
    /// Asks the receiver to fetch over gRPC.
    #[prost(bool, tag = "4")]
    Referral(bool),
}
