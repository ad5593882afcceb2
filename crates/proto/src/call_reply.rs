use medlarspool_types::Verdict;
use prost::Message;

use crate::{Header, LoadReport, Refusal, WireHead, WireVerdict};

/// A gate's reply to one attempt.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct CallReply {
    /// The complete body of the upstream's answer.
    #[prost(bytes = "vec", tag = "1")]
    pub body: Vec<u8>,
    /// The headers of the upstream's answer.
    #[prost(message, repeated, tag = "2")]
    pub headers: Vec<Header>,
    /// The head of the configuration that the gate serves by.
    #[prost(message, optional, tag = "3")]
    pub config_head: Option<WireHead>,
    /// The gate's load when it replied.
    #[prost(message, optional, tag = "4")]
    pub load: Option<LoadReport>,
    /// Why there is no answer; [`Refusal::None`] if there is one.
    #[prost(enumeration = "Refusal", tag = "5")]
    pub refusal: i32,
    /// How long to wait after a refusal before another attempt, in milliseconds; 0 if the gate does not say.
    #[prost(uint64, tag = "6")]
    pub retry_after_ms: u64,
    /// The HTTP status of the upstream's answer; 0 if there is none.
    #[prost(uint32, tag = "7")]
    pub status: u32,
    /// Whether the request may have run.
    #[prost(enumeration = "WireVerdict", tag = "8")]
    pub verdict: i32,
    /// The only instance whose gate runs this request if it is suspected of crashing upstreams; empty if any
    /// gate may run it.
    #[prost(string, tag = "9")]
    pub assigned_instance: String,
}

impl CallReply {
    /// Returns a reply without an answer of the upstream.
    #[must_use]
    pub fn refused(verdict: Verdict, refusal: Refusal) -> Self {
        Self {
            refusal: refusal.into(),
            verdict: WireVerdict::from(verdict).into(),
            ..Self::default()
        }
    }

    /// Returns the verdict on whether the request ran.
    #[must_use]
    pub fn typed_verdict(&self) -> Verdict {
        self.verdict().into()
    }
}
