use prost::Message;

/// Asks a gate what became of one try; an unseen one is fenced.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct FateRequest {
    /// The id of the try, 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub call_id: Vec<u8>,
    /// The gate's incarnation that the try was sent to; another life answers "may have run".
    #[prost(uint64, tag = "2")]
    pub gate_incarnation: u64,
    /// How long ago the entry sent the try, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub sent_ago_ms: u64,
}
