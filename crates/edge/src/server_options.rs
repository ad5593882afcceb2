use std::time::Duration;

use medlarspool_mesh::MessageLimits;

/// Options of a server connection; they may change while it is open.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerOptions {
    /// After how long without a response an interim response is sent; `None` for never.
    pub(crate) interim_after: Option<Duration>,
    pub(crate) limits: MessageLimits,
    /// The most headers of a request.
    pub(crate) max_headers: usize,
    /// Whether requests are begun whose sender has closed the connection already.
    pub(crate) serves_absent_senders: bool,
}
