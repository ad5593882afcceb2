use medlarspool_types::{Address, ConfigHead, InstanceId};

use crate::{FetchOutcome, FetchSource, SpreadMessage, SpreadPeer};

/// An input of [`crate::Spread`].
#[derive(Clone, Debug)]
pub enum SpreadEvent {
    /// A [`crate::SpreadAction::Fetch`] or [`crate::SpreadAction::Apply`] has ended.
    Fetched {
        /// The head that the action asked for.
        head: ConfigHead,
        /// The outcome.
        outcome: FetchOutcome,
        /// The source of the lists.
        source: FetchSource,
    },
    /// A call carried the head that another daemon serves with.
    HeadFromCall(ConfigHead),
    /// A read of the store's head succeeded.
    HeadRead(ConfigHead),
    /// A read of the store's head failed.
    HeadReadFailed,
    /// A message from another daemon arrived.
    Message {
        /// The address that an answer is sent to.
        address: Address,
        /// The sender.
        from: InstanceId,
        /// The head that the sender announced on the envelope.
        head: ConfigHead,
        /// The message.
        message: SpreadMessage,
    },
    /// The envelope of a message of another protocol carried a daemon's head.
    PeerHead {
        /// The sender.
        from: InstanceId,
        /// The head that it announced.
        head: ConfigHead,
    },
    /// The daemons that are believed alive changed; here are all of them but this one.
    PeersChanged(Vec<SpreadPeer>),
    /// The time that [`crate::Spread::next_wakeup`] returned has come.
    Tick,
    /// A granted transfer has ended, successfully or not.
    TransferEnded,
    /// Another daemon asks for a transfer.
    TransferRequested {
        /// The head of the lists that the other daemon uses, or `None` if it needs the whole
        /// lists.
        base: Option<ConfigHead>,
        /// An id chosen by the edge, which the action that answers the request carries.
        request_id: u64,
    },
    /// The lists in use were checked against their digest.
    Verified {
        /// Whether the lists match the digest.
        intact: bool,
    },
}
