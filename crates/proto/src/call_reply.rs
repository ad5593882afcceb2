use medlarspool_types::Verdict;
use prost::Message;

use crate::{Header, LoadReport, Refusal, WireHead, WireVerdict};

/// What a gate says of one try.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct CallReply {
    /// The whole body of the upstream's answer.
    #[prost(bytes = "vec", tag = "1")]
    pub body: Vec<u8>,
    /// The headers of the upstream's answer.
    #[prost(message, repeated, tag = "2")]
    pub headers: Vec<Header>,
    /// The configuration that the gate holds.
    #[prost(message, optional, tag = "3")]
    pub config_head: Option<WireHead>,
    /// The gate's load.
    #[prost(message, optional, tag = "4")]
    pub load: Option<LoadReport>,
    /// Why there is no answer.
    #[prost(enumeration = "Refusal", tag = "5")]
    pub refusal: i32,
    /// When to come back after a refusal, in milliseconds; 0 says nothing.
    #[prost(uint64, tag = "6")]
    pub retry_after_ms: u64,
    /// The HTTP status of the upstream's answer; 0 without one.
    #[prost(uint32, tag = "7")]
    pub status: u32,
    /// Whether the request may have run.
    #[prost(enumeration = "WireVerdict", tag = "8")]
    pub verdict: i32,
    /// The only instance whose gate runs this request, if it is suspected of crashing upstreams.
    #[prost(string, tag = "9")]
    pub assigned_instance: String,
}

impl CallReply {
    /// Returns a reply without an answer.
    #[must_use]
    pub fn refused(verdict: Verdict, refusal: Refusal) -> Self {
        Self {
            refusal: refusal.into(),
            verdict: WireVerdict::from(verdict).into(),
            ..Self::default()
        }
    }

    /// Returns whether the request may have run.
    #[must_use]
    pub fn typed_verdict(&self) -> Verdict {
        self.verdict().into()
    }
}
