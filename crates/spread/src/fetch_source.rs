use medlarspool_types::InstanceId;

use crate::SpreadPeer;

/// Where lists come from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FetchSource {
    /// Updates that this peer sent by datagram.
    Offer(InstanceId),
    /// A transfer from this peer.
    Peer(SpreadPeer),
    /// The object store.
    Store,
}
