use medlarspool_membership::UpstreamDetail;
use medlarspool_types::Incarnation;
use prost::Message;

use crate::{ProtoError, membership_updates::parse_id};

/// An [`UpstreamDetail`] on the wire.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct WireDetail {
    /// Whether the upstream is still warming up.
    #[prost(bool, tag = "1")]
    pub cold: bool,
    /// Increases with each restart of the upstream beside its daemon.
    #[prost(uint64, tag = "2")]
    pub generation: u64,
    /// The incarnation of the daemon that published this detail.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// The daemon beside the upstream.
    #[prost(string, tag = "4")]
    pub instance: String,
    /// Increases with each change of this detail within one incarnation.
    #[prost(uint64, tag = "5")]
    pub sequence: u64,
    /// The number of requests that the upstream runs concurrently.
    #[prost(uint32, tag = "6")]
    pub slots: u32,
    /// The incarnation with which the daemon's process started, which refutations do not change.
    #[prost(uint64, tag = "7")]
    pub process_incarnation: u64,
}

impl From<&UpstreamDetail> for WireDetail {
    fn from(detail: &UpstreamDetail) -> Self {
        Self {
            cold: detail.cold,
            generation: detail.generation,
            incarnation: detail.incarnation.0,
            instance: detail.instance.to_string(),
            process_incarnation: detail.process_incarnation.0,
            sequence: detail.sequence,
            slots: detail.slots,
        }
    }
}

impl TryFrom<WireDetail> for UpstreamDetail {
    type Error = ProtoError;

    fn try_from(wire: WireDetail) -> Result<Self, Self::Error> {
        Ok(Self {
            cold: wire.cold,
            generation: wire.generation,
            incarnation: Incarnation(wire.incarnation),
            instance: parse_id(wire.instance)?,
            process_incarnation: Incarnation(wire.process_incarnation),
            sequence: wire.sequence,
            slots: wire.slots,
        })
    }
}
