use medlarspool_proto::{PeerClient, WireChannel};

/// A connection to a peer with the channel that its gate opened for it.
pub(crate) struct PeerConnection {
    pub(crate) channel: WireChannel,
    pub(crate) client: PeerClient,
}
