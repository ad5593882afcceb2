use medlarspool_types::InstanceId;

use crate::SpreadPeer;

/// Where lists come from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FetchSource {
    /// Updates that came in a datagram.
    Offer(InstanceId),
    /// A transfer from another daemon.
    Peer(SpreadPeer),
    /// The object store.
    Store,
}
