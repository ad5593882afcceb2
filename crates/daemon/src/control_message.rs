use std::{net::SocketAddr, sync::Arc};

use medlarspool_config::Snapshot;

use crate::upstream_record::UpstreamRecord;

/// What the edges tell the control thread.
pub(crate) enum ControlMessage {
    /// A checked configuration is ready to be put in use.
    Configuration(Arc<Snapshot>),
    /// A datagram of a peer came, still sealed.
    Datagram {
        /// Where it came from.
        address: SocketAddr,
        /// The datagram.
        sealed: Vec<u8>,
    },
    /// The store was read; a failed read leaves everything as it is.
    PollDone,
    /// The daemon is stopping.
    Stop,
    /// The upstreams that the store knows.
    Upstreams(Vec<UpstreamRecord>),
}
