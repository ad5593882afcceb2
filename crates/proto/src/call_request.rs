use prost::Message;

use crate::{Header, WireChannel, WireHead};

/// One try of a caller's request, handed from an entry to a gate.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct CallRequest {
    /// The version by which the entry admitted the request.
    #[prost(message, optional, tag = "1")]
    pub admitted_by: Option<WireHead>,
    /// The channel that the try is sent over; the gate refuses it once that is closed.
    #[prost(message, optional, tag = "2")]
    pub channel: Option<WireChannel>,
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
    /// The share of a retry that the hops below may save up, in thousandths.
    #[prost(uint32, tag = "12")]
    pub retry_per_mille: u32,
    /// The service.
    #[prost(string, tag = "13")]
    pub service: String,
}
