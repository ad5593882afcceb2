use medlarspool_proto::TransferReply;
use medlarspool_spread::{FetchOutcome, FetchSource, SpreadEvent};
use medlarspool_types::ConfigHead;
use tokio::sync::oneshot;

/// What a daemon of the bench receives from the fleet, its peers and its own tasks other than by datagram.
#[derive(Debug)]
pub(crate) enum ConvergenceCommand {
    /// An event for the daemon's core.
    Event(SpreadEvent),
    /// A fetch from a peer or the store ended without lists or updates.
    FetchFailed {
        outcome: FetchOutcome,
        source: FetchSource,
    },
    /// A peer requests a transfer.
    Transfer {
        base: Option<ConfigHead>,
        reply: oneshot::Sender<TransferReply>,
    },
    /// A peer or the store sent lists or updates.
    Transferred {
        reply: TransferReply,
        source: FetchSource,
    },
}
