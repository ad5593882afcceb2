use prost::Message;

use crate::{CallReply, WireFate};

/// What a gate knows of one attempt.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct WireFateReply {
    /// The answer, if the attempt ran and its answer is still retained.
    #[prost(message, optional, tag = "1")]
    pub answer: Option<CallReply>,
    /// What became of the attempt.
    #[prost(enumeration = "WireFate", tag = "2")]
    pub fate: i32,
    /// How long the gate retains its records, in microseconds: it has one of every started attempt that
    /// arrived within this time before the reply.
    #[prost(uint64, tag = "3")]
    pub retention_us: u64,
}
