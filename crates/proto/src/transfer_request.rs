use prost::Message;

use crate::WireHead;

/// Requests updates of the configuration, or its whole lists, from a daemon.
#[derive(Clone, Copy, Message, PartialEq)]
pub struct TransferRequest {
    /// The version that the requester has; absent if it needs the whole lists.
    #[prost(message, optional, tag = "1")]
    pub base: Option<WireHead>,
}
