use prost::Message;

/// Requests a channel from a gate; the first message on each new connection.
#[derive(Clone, Copy, Eq, Message, PartialEq)]
pub struct ChannelRequest {}
