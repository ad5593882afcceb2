use prost::Message;

use crate::{Header, WireHead};

/// One try of a caller's request, handed from an entry to a gate.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct CallRequest {
    /// The version by which the entry admitted the request.
    #[prost(message, optional, tag = "1")]
    pub admitted_by: Option<WireHead>,
    /// Tries that the request may still make anywhere below this call.
    #[prost(uint32, tag = "2")]
    pub attempts_left: u32,
    /// The whole body.
    #[prost(bytes = "vec", tag = "3")]
    pub body: Vec<u8>,
    /// The id of this try, 16 bytes.
    #[prost(bytes = "vec", tag = "4")]
    pub call_id: Vec<u8>,
    /// The customer that sent the request.
    #[prost(string, tag = "5")]
    pub customer: String,
    /// How many calls deep the request stands, the first one being 0.
    #[prost(uint32, tag = "6")]
    pub depth: u32,
    /// The headers to pass on.
    #[prost(message, repeated, tag = "7")]
    pub headers: Vec<Header>,
    /// The caller's idempotency key, or empty.
    #[prost(string, tag = "8")]
    pub idempotency_key: String,
    /// The HTTP method.
    #[prost(string, tag = "9")]
    pub method: String,
    /// The path below the service, with its query.
    #[prost(string, tag = "10")]
    pub path: String,
    /// What is left of the caller's deadline, in milliseconds.
    #[prost(uint64, tag = "11")]
    pub remaining_ms: u64,
    /// The service.
    #[prost(string, tag = "12")]
    pub service: String,
    /// The gate's incarnation as the entry knows it, so that a restarted gate is told apart.
    #[prost(uint64, tag = "13")]
    pub gate_incarnation: u64,
}
