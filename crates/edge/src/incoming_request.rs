use std::time::Instant;

use bytes::Bytes;

use crate::{body_framing::BodyFraming, body_source::BodySource, message_head::RequestHead};

/// A request as a server connection read it.
#[derive(Debug)]
pub(crate) struct IncomingRequest {
    /// When its head was read.
    pub(crate) arrived: Instant,
    /// The body, or what of it was read at once.
    pub(crate) body: Bytes,
    pub(crate) framing: BodyFraming,
    pub(crate) head: RequestHead,
    /// The rest of the body, if it is long.
    pub(crate) body_rest: Option<BodySource>,
}
