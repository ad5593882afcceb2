use std::{net::IpAddr, time::Instant};

use bytes::Bytes;

use crate::{body_framing::BodyFraming, body_source::BodySource, message_head::RequestHead};

/// A request as read from a server connection.
#[derive(Debug)]
pub(crate) struct IncomingRequest {
    /// When the request was handed to the handler: its head was read, and its body as far as it is buffered.
    pub(crate) arrived_at: Instant,
    /// The body, or the beginning of a long one.
    pub(crate) body: Bytes,
    /// The IP address that the connection came from.
    pub(crate) client_ip: IpAddr,
    pub(crate) framing: BodyFraming,
    pub(crate) head: RequestHead,
    /// The rest of the body, if it is long.
    pub(crate) body_rest: Option<BodySource>,
}
