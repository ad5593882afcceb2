use medlarspool_types::Incarnation;

/// Identifies one connection from an entry to a gate; the gate assigns it when the connection opens.
///
/// A gate refuses calls that arrive under a channel that it has closed. Settling a call's fate closes
/// the channel over which the call was sent, so the call can't arrive late over that channel. A channel
/// of which the gate has no record counts as closed, so the number of these records can be limited
/// without weakening this guarantee.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ChannelId {
    /// The incarnation of the gate's process that opened the channel.
    pub gate_incarnation: Incarnation,
    /// The sequence number of the channel within that incarnation.
    pub number: u64,
}
