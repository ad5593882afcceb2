use medlarspool_types::Incarnation;

/// Names one connection from an entry to a gate; the gate hands it out when the connection opens.
///
/// A gate refuses work that arrives under a channel that it has closed. So when a fate is settled
/// over a new channel and the old one is closed, nothing can arrive late over the old one. A channel
/// that the gate forgot is closed too, so its memory is bounded without a false promise.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ChannelId {
    /// The life of the gate's process that opened the channel.
    pub gate_incarnation: Incarnation,
    /// Counts the channels of that life.
    pub number: u64,
}
