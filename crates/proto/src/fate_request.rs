use prost::Message;

use crate::WireChannel;

/// Asks a gate what became of one try.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct FateRequest {
    /// The id of the try, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub call_id: Vec<u8>,
    /// The channel that the try was sent over.
    #[prost(message, optional, tag = "2")]
    pub channel: Option<WireChannel>,
    /// Whether the try's own entry asks, so that the gate closes the channel and fences what has
    /// not started.
    #[prost(bool, tag = "3")]
    pub settle: bool,
}
