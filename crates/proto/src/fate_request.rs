use prost::Message;

use crate::WireChannel;

/// Asks a gate what became of one attempt.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct FateRequest {
    /// The id of the attempt, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub call_id: Vec<u8>,
    /// The channel that the attempt was sent over.
    #[prost(message, optional, tag = "2")]
    pub channel: Option<WireChannel>,
    /// Whether the request comes from the entry that sent the attempt. The gate then closes the channel, so
    /// that none of its attempts that have not started will ever start.
    #[prost(bool, tag = "3")]
    pub settle: bool,
}
