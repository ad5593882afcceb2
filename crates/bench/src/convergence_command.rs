use medlarspool_proto::TransferReply;
use medlarspool_spread::{FetchOutcome, FetchSource, SpreadEvent};
use medlarspool_types::ConfigHead;
use tokio::sync::oneshot;

/// What reaches a daemon of the bench besides datagrams.
#[derive(Debug)]
pub(crate) enum ConvergenceCommand {
    /// Something happened to its core.
    Event(SpreadEvent),
    /// A fetch brought nothing.
    FetchFailed {
        outcome: FetchOutcome,
        source: FetchSource,
    },
    /// A peer asks for a transfer.
    Transfer {
        base: Option<ConfigHead>,
        reply: oneshot::Sender<TransferReply>,
    },
    /// A peer or the store sent lists.
    Transferred {
        reply: TransferReply,
        source: FetchSource,
    },
}
