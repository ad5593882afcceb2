use displaydoc::Display;

/// An error of the protocol between two daemons.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ProtoError {
    /// `{0}` makes a datagram unreadable
    Datagram(String),
    /// the datagram is not sealed with the fleet's key
    DatagramSeal,
    /// `{0}` makes a delta unusable
    Delta(String),
    /// `{0}` is not a fleet key of at least 16 characters
    FleetKey(String),
    /// `{0}` makes a membership message unreadable
    Member(String),
    /// the datagram has no payload that this version knows
    PayloadMissing,
    /// `{0}` is not an address that a daemon can be reached at
    PeerAddress(String),
    /// the peer at `{0}` can't be connected to
    PeerConnection(String),
    /// the peer at `{0}` accepted a connection but opened no channel
    PeerSilent(String),
}

impl std::error::Error for ProtoError {}
