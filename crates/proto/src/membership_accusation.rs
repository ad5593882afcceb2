use medlarspool_membership::Accusation;
use medlarspool_types::Incarnation;
use prost::Message;

use crate::{ProtoError, WireAccusationKind};

/// An [`Accusation`] on the wire.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct WireAccusation {
    /// The hash of the accuser's instance id, by which independent confirmations are counted.
    #[prost(fixed32, tag = "1")]
    pub accuser: u32,
    /// The incarnation that is accused.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// The accused member.
    #[prost(string, tag = "3")]
    pub instance: String,
    /// Whether the member is reported as suspect or dead.
    #[prost(enumeration = "WireAccusationKind", tag = "4")]
    pub kind: i32,
}

impl From<&Accusation> for WireAccusation {
    fn from(accusation: &Accusation) -> Self {
        Self {
            accuser: accusation.accuser,
            incarnation: accusation.incarnation.0,
            instance: accusation.instance.to_string(),
            kind: WireAccusationKind::from(accusation.kind).into(),
        }
    }
}

impl TryFrom<WireAccusation> for Accusation {
    type Error = ProtoError;

    fn try_from(wire: WireAccusation) -> Result<Self, Self::Error> {
        Ok(Self {
            accuser: wire.accuser,
            incarnation: Incarnation(wire.incarnation),
            kind: wire.kind().into(),
            instance: crate::membership_updates::parse_id(wire.instance)?,
        })
    }
}
