use prost::Message;

use crate::WireHead;

/// Asks a daemon for updates or for its whole lists.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct TransferRequest {
    /// The version that the asker holds, if updates from it will do.
    #[prost(message, optional, tag = "1")]
    pub base: Option<WireHead>,
}
