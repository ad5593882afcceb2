//! The protobuf messages of encoded lists and deltas.

use medlarspool_types::{ConfigDigest, ConfigHead, ConfigVersion};
use prost::Message;

#[derive(Clone, PartialEq, Message)]
pub(crate) struct HeadMessage {
    #[prost(uint64, tag = "1")]
    pub(crate) version: u64,
    #[prost(fixed64, tag = "2")]
    pub(crate) digest_high: u64,
    #[prost(fixed64, tag = "3")]
    pub(crate) digest_low: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct CustomerMessage {
    #[prost(string, tag = "1")]
    pub(crate) customer: String,
    #[prost(string, tag = "2")]
    pub(crate) plan: String,
    #[prost(bytes = "vec", tag = "3")]
    pub(crate) credential_sha256: Vec<u8>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct PlanMessage {
    #[prost(string, tag = "1")]
    pub(crate) plan: String,
    #[prost(string, repeated, tag = "2")]
    pub(crate) uses: Vec<String>,
    #[prost(uint32, tag = "3")]
    pub(crate) weight: u32,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct ServiceMessage {
    #[prost(string, tag = "1")]
    pub(crate) service: String,
    #[prost(uint64, tag = "2")]
    pub(crate) max_request_bytes: u64,
    #[prost(uint64, tag = "3")]
    pub(crate) timeout_ms: u64,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct ListsMessage {
    #[prost(message, repeated, tag = "1")]
    pub(crate) customers: Vec<CustomerMessage>,
    #[prost(message, repeated, tag = "2")]
    pub(crate) plans: Vec<PlanMessage>,
    #[prost(message, repeated, tag = "3")]
    pub(crate) services: Vec<ServiceMessage>,
}

#[derive(Clone, PartialEq, Message)]
pub(crate) struct DeltaMessage {
    #[prost(message, required, tag = "1")]
    pub(crate) base: HeadMessage,
    #[prost(message, required, tag = "2")]
    pub(crate) head: HeadMessage,
    #[prost(message, required, tag = "3")]
    pub(crate) put: ListsMessage,
    #[prost(string, repeated, tag = "4")]
    pub(crate) removed_customers: Vec<String>,
    #[prost(string, repeated, tag = "5")]
    pub(crate) removed_plans: Vec<String>,
    #[prost(string, repeated, tag = "6")]
    pub(crate) removed_services: Vec<String>,
}

impl From<ConfigHead> for HeadMessage {
    fn from(head: ConfigHead) -> Self {
        let [high, low] = halves(head.digest.0);
        Self {
            version: head.version.0,
            digest_high: high,
            digest_low: low,
        }
    }
}

impl From<HeadMessage> for ConfigHead {
    fn from(message: HeadMessage) -> Self {
        let digest = u128::from(message.digest_high) << 64 | u128::from(message.digest_low);
        Self {
            version: ConfigVersion(message.version),
            digest: ConfigDigest(digest),
        }
    }
}

fn halves(digest: u128) -> [u64; 2] {
    let half = |bits: u128| u64::try_from(bits & u128::from(u64::MAX)).unwrap_or(u64::MAX);
    [half(digest >> 64), half(digest)]
}
