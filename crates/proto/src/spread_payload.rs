use medlarspool_spread::{DeltaUpdate, SpreadMessage, decode_update};
use prost::Message;

use crate::{ProtoError, SpreadKind, SpreadOffer};

/// The message about changes of the configuration that one datagram carries.
#[derive(Clone, Message, PartialEq)]
pub struct SpreadPayload {
    /// The message; none if this daemon does not know its kind.
    #[prost(oneof = "SpreadKind", tags = "1, 2, 3, 4")]
    pub kind: Option<SpreadKind>,
}

impl From<&SpreadMessage> for SpreadPayload {
    fn from(message: &SpreadMessage) -> Self {
        let kind = match message {
            SpreadMessage::Digest { reply_wanted } => SpreadKind::Digest(*reply_wanted),
            SpreadMessage::Offer { updates } => SpreadKind::Offer(SpreadOffer {
                deltas: updates.iter().map(|update| update.delta.to_vec()).collect(),
            }),
            SpreadMessage::Pull { base } => SpreadKind::Pull((*base).into()),
            SpreadMessage::Referral => SpreadKind::Referral(true),
        };
        Self { kind: Some(kind) }
    }
}

impl TryFrom<SpreadPayload> for SpreadMessage {
    type Error = ProtoError;

    fn try_from(payload: SpreadPayload) -> Result<Self, Self::Error> {
        let kind = payload.kind.ok_or(ProtoError::PayloadMissing)?;
        Ok(match kind {
            SpreadKind::Digest(reply_wanted) => Self::Digest { reply_wanted },
            SpreadKind::Offer(offer) => Self::Offer {
                updates: decode_updates(&offer.deltas)?,
            },
            SpreadKind::Pull(base) => Self::Pull { base: base.into() },
            SpreadKind::Referral(_) => Self::Referral,
        })
    }
}

/// Decodes the deltas of an offer or a transfer, in their order.
///
/// # Errors
///
/// Returns [`ProtoError::Delta`] for the first delta that can't be decoded.
pub fn decode_updates(deltas: &[Vec<u8>]) -> Result<Vec<DeltaUpdate>, ProtoError> {
    let decode = |delta: &Vec<u8>| {
        decode_update(delta).map_err(|error| ProtoError::Delta(error.to_string()))
    };
    deltas.iter().map(decode).collect()
}
