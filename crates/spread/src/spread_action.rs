use std::time::Duration;

use medlarspool_types::{Address, ConfigHead};

use crate::{DeltaUpdate, FetchSource, LinkClass, SpreadMessage};

/// What the core asks its edge to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SpreadAction {
    /// Build the snapshot that the updates lead to and swap it in.
    Apply {
        /// Whom they came from.
        source: FetchSource,
        /// Consecutive updates; the first is against the version in use.
        updates: Vec<DeltaUpdate>,
    },
    /// Get lists from a peer or the store, build the snapshot and swap it in.
    Fetch {
        /// The version in use if updates against it will do, or `None` if the whole is needed.
        base: Option<ConfigHead>,
        /// The version that is wanted; a newer one will do.
        head: ConfigHead,
        /// Where to get it.
        source: FetchSource,
    },
    /// Read the head from the store.
    ReadHead,
    /// Send a datagram.
    Send {
        /// Where to.
        address: Address,
        /// The kind of link that it crosses.
        link: LinkClass,
        /// What it says.
        message: SpreadMessage,
    },
    /// Answer a request for a transfer: come back later.
    TransferBusy {
        /// How long to stay away.
        retry_after: Duration,
        /// Names the request.
        ticket: u64,
    },
    /// Answer a request for a transfer, then report its end.
    TransferGranted {
        /// Names the request.
        ticket: u64,
        /// The updates to send, or `None` for the whole lists in use.
        updates: Option<Vec<DeltaUpdate>>,
    },
    /// Check the lists in use against their digest.
    Verify,
}
