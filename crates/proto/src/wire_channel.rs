use prost::Message;

/// Identifies one connection from an entry to a gate; see `docs/design/calls.md`.
#[derive(Clone, Copy, Eq, Hash, Message, PartialEq)]
pub struct WireChannel {
    /// The incarnation of the gate's process that opened the channel.
    #[prost(uint64, tag = "1")]
    pub gate_incarnation: u64,
    /// The sequence number of the channel among those that this incarnation has opened.
    #[prost(uint64, tag = "2")]
    pub number: u64,
}
