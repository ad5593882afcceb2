use medlarspool_types::{Address, ConfigHead, InstanceId};

use crate::{FetchOutcome, FetchSource, SpreadMessage, SpreadPeer};

/// What happens to the spreading of changes.
#[derive(Clone, Debug)]
pub enum SpreadEvent {
    /// A fetch or an apply that the core asked for has ended.
    Fetched {
        /// The version that was asked for.
        head: ConfigHead,
        /// What became of it.
        outcome: FetchOutcome,
        /// Where it came from.
        source: FetchSource,
    },
    /// A call showed a version that another daemon serves by.
    HeadFromCall(ConfigHead),
    /// The store answered with its head.
    HeadRead(ConfigHead),
    /// The store didn't answer.
    HeadReadFailed,
    /// Another daemon sent a message.
    Message {
        /// Where an answer goes.
        address: Address,
        /// The sender.
        from: InstanceId,
        /// The sender's head, from the envelope.
        head: ConfigHead,
        /// The message.
        message: SpreadMessage,
    },
    /// The envelope of any other message showed another daemon's head.
    PeerHead {
        /// The sender.
        from: InstanceId,
        /// Its head.
        head: ConfigHead,
    },
    /// The daemons that are believed alive, without this one.
    PeersChanged(Vec<SpreadPeer>),
    /// The time that [`crate::Spread::next_wakeup`] named has come.
    Tick,
    /// A transfer that was granted has ended, whatever its success.
    TransferEnded,
    /// Another daemon asks for a transfer.
    TransferRequested {
        /// The version it holds, if it can use updates.
        base: Option<ConfigHead>,
        /// Names the request in the answer.
        ticket: u64,
    },
    /// The lists in use were checked against their digest.
    Verified {
        /// Whether they match.
        intact: bool,
    },
}
