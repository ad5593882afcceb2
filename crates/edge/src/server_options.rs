use std::time::Duration;

use medlarspool_mesh::MessageLimits;

/// How a server connection treats its client.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerOptions {
    /// After how long without an answer the client is told that the request came, if at all.
    pub(crate) interim_after: Option<Duration>,
    pub(crate) limits: MessageLimits,
}
