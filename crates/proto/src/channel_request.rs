use prost::Message;

/// Asks a gate for a channel; the first message on each new connection.
#[derive(Clone, Copy, Eq, Message, PartialEq)]
pub struct ChannelRequest {}
