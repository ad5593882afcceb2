use medlarspool_proto::{PeerClient, WireChannel};

/// A connection to a peer, with the channel that the peer's gate opened for it.
pub(crate) struct PeerConnection {
    pub(crate) channel: WireChannel,
    pub(crate) client: PeerClient,
}
