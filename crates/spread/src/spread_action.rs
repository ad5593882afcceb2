use std::time::Duration;

use medlarspool_types::{Address, ConfigHead};

use crate::{DeltaUpdate, FetchSource, LinkClass, SpreadMessage};

/// An output of [`crate::Spread`], which its edge carries out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SpreadAction {
    /// Build the snapshot that the updates lead to and take it into use.
    Apply {
        /// The peer that sent them.
        source: FetchSource,
        /// Consecutive updates; the base of the first is the version in use.
        updates: Vec<DeltaUpdate>,
    },
    /// Get lists from a peer or the object store, build the snapshot and take it into use.
    Fetch {
        /// The head in use if updates from it suffice, or `None` if the whole lists are needed.
        base: Option<ConfigHead>,
        /// The wanted head; lists of a newer version are accepted as well.
        head: ConfigHead,
        /// The source to get them from.
        source: FetchSource,
    },
    /// Read the head from the store.
    ReadHead,
    /// Send a datagram.
    Send {
        /// The receiver's address.
        address: Address,
        /// The class of the link that it crosses.
        link: LinkClass,
        /// The message.
        message: SpreadMessage,
    },
    /// Refuse a request for a transfer for now.
    TransferBusy {
        /// The id of the request, from [`crate::SpreadEvent::TransferRequested`].
        request_id: u64,
        /// The time within which the peer may try again.
        retry_after: Duration,
    },
    /// Serve a requested transfer, then report its end with [`crate::SpreadEvent::TransferEnded`].
    TransferGranted {
        /// The id of the request, from [`crate::SpreadEvent::TransferRequested`].
        request_id: u64,
        /// The updates to send, or `None` for the whole lists in use.
        updates: Option<Vec<DeltaUpdate>>,
    },
    /// Check the lists in use against their digest.
    Verify,
}
