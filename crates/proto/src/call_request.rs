use prost::Message;

use crate::{Header, WireChannel, WireHead};

/// One attempt of a caller's request, sent from an entry to a gate.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct CallRequest {
    /// The head of the configuration by which the entry admitted the request. A gate that is behind
    /// fetches that version before it decides.
    #[prost(message, optional, tag = "1")]
    pub admission_head: Option<WireHead>,
    /// The channel that the attempt is sent over; the gate refuses attempts over a closed channel.
    #[prost(message, optional, tag = "2")]
    pub channel: Option<WireChannel>,
    /// The complete body of the caller's request.
    #[prost(bytes = "vec", tag = "3")]
    pub body: Vec<u8>,
    /// The id of this attempt, 16 bytes.
    #[prost(bytes = "vec", tag = "4")]
    pub call_id: Vec<u8>,
    /// The customer that sent the request.
    #[prost(string, tag = "5")]
    pub customer: String,
    /// The number of calls that led to this one; 0 for a call that no other call caused.
    #[prost(uint32, tag = "6")]
    pub depth: u32,
    /// The headers to forward.
    #[prost(message, repeated, tag = "7")]
    pub headers: Vec<Header>,
    /// The caller's idempotency key; empty if there is none.
    #[prost(string, tag = "8")]
    pub idempotency_key: String,
    /// The HTTP method.
    #[prost(string, tag = "9")]
    pub method: String,
    /// The path below the service, with its query.
    #[prost(string, tag = "10")]
    pub path: String,
    /// The time that remains until the caller's deadline, in milliseconds.
    #[prost(uint64, tag = "11")]
    pub remaining_ms: u64,
    /// How much this request still deposits in the retry budgets of later hops, in thousandths of a retry;
    /// 0 if nothing remains.
    #[prost(uint32, tag = "12")]
    pub retry_per_mille: u32,
    /// The name of the service that the caller requested.
    #[prost(string, tag = "13")]
    pub service: String,
}
