use displaydoc::Display;

/// What can go wrong between two daemons.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ProtoError {
    /// `{0}` is not a fleet key of at least 16 characters
    FleetKey(String),
    /// `{0}` is not an address that a daemon can be reached at
    PeerAddress(String),
}

impl std::error::Error for ProtoError {}
