use prost::Message;

use crate::{CallReply, WireFate};

/// What a gate knows of one try.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct WireFateReply {
    /// The kept answer, if the try ran and it is still kept.
    #[prost(message, optional, tag = "1")]
    pub answer: Option<CallReply>,
    /// What became of the try.
    #[prost(enumeration = "WireFate", tag = "2")]
    pub fate: i32,
    /// The gate has forgotten no try that arrived within this time before, in microseconds.
    #[prost(uint64, tag = "3")]
    pub remembered_us: u64,
}
