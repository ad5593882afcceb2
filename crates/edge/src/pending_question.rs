use std::net::SocketAddr;

use medlarspool_mesh::BootTime;

/// A question for a confirmation that another daemon has not answered yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingQuestion {
    pub(crate) asked: SocketAddr,
    pub(crate) nonce: u64,
    pub(crate) sent_at: BootTime,
}
