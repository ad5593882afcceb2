use std::time::Duration;

use medlarspool_membership::{
    BucketSet, MemberUpdate, Message as MembershipMessage, UpstreamDetail,
};
use prost::Message;

use crate::{
    MembershipKind, ProtoError, WireAck, WireBusy, WireDetail, WireDetailReply, WireDetailRequest,
    WireDigests, WirePing, WirePingRequest, WireStateReply, WireStateRequest, WireUpdates,
    membership_announcement::{decode_address, encode_ip},
    membership_updates::parse_id,
};

/// The message about members that one datagram carries. See `docs/design/membership.md`.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct MembershipPayload {
    /// The message; none if this daemon does not know its kind.
    #[prost(
        oneof = "MembershipKind",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12"
    )]
    pub kind: Option<MembershipKind>,
}

impl From<&MembershipMessage> for MembershipPayload {
    fn from(message: &MembershipMessage) -> Self {
        Self {
            kind: Some(encode_kind(message)),
        }
    }
}

impl TryFrom<MembershipPayload> for MembershipMessage {
    type Error = ProtoError;

    fn try_from(payload: MembershipPayload) -> Result<Self, Self::Error> {
        decode_kind(payload.kind.ok_or(ProtoError::PayloadMissing)?)
    }
}

/// Decodes a bit set of exactly four 64-bit words.
fn decode_buckets(words: &[u64]) -> Result<BucketSet, ProtoError> {
    let words = <[u64; 4]>::try_from(words);
    words
        .map(BucketSet::from_words)
        .map_err(|_| ProtoError::Member("buckets".into()))
}

fn decode_details(details: Vec<WireDetail>) -> Result<Vec<UpstreamDetail>, ProtoError> {
    details.into_iter().map(UpstreamDetail::try_from).collect()
}

fn decode_kind(kind: MembershipKind) -> Result<MembershipMessage, ProtoError> {
    Ok(match kind {
        MembershipKind::Ack(ack) => MembershipMessage::Ack {
            number: ack.number,
            relayed: ack.relayed,
            updates: WireUpdates::into_updates(ack.updates)?,
        },
        MembershipKind::Busy(busy) => MembershipMessage::Busy {
            retry_after: Duration::from_millis(busy.retry_after_ms),
            updates: WireUpdates::into_updates(busy.updates)?,
        },
        MembershipKind::DetailReply(reply) => MembershipMessage::DetailReply {
            details: decode_details(reply.details)?,
            service: parse_id(reply.service)?,
            updates: WireUpdates::into_updates(reply.updates)?,
        },
        MembershipKind::DetailRequest(request) => MembershipMessage::DetailRequest {
            digest: request.digest,
            service: parse_id(request.service)?,
        },
        MembershipKind::DigestReply(digests) => MembershipMessage::DigestReply {
            buckets: digests.buckets,
        },
        MembershipKind::DigestRequest(root) => MembershipMessage::DigestRequest { root },
        MembershipKind::Gossip(updates) => MembershipMessage::Gossip {
            updates: WireUpdates::into_updates(Some(updates))?,
        },
        MembershipKind::Nack(number) => MembershipMessage::Nack { number },
        MembershipKind::Ping(ping) => MembershipMessage::Ping {
            number: ping.number,
            updates: WireUpdates::into_updates(ping.updates)?,
        },
        MembershipKind::PingRequest(request) => MembershipMessage::PingRequest {
            address: decode_address(&request.ip, request.port)?,
            number: request.number,
            subject: parse_id(request.subject)?,
        },
        MembershipKind::StateReply(reply) => MembershipMessage::StateReply {
            buckets: decode_buckets(&reply.buckets)?,
            updates: WireUpdates::into_updates(reply.updates)?,
        },
        MembershipKind::StateRequest(request) => decode_state_request(request)?,
    })
}

/// Decodes a request for state, whose `announcement` must hold one announcement.
fn decode_state_request(request: WireStateRequest) -> Result<MembershipMessage, ProtoError> {
    let updates = WireUpdates::into_updates(request.announcement)?;
    let Some(MemberUpdate::Announcement(announcement)) = updates.into_iter().next() else {
        return Err(ProtoError::PayloadMissing);
    };
    Ok(MembershipMessage::StateRequest {
        announcement,
        buckets: decode_buckets(&request.buckets)?,
    })
}

fn encode_kind(message: &MembershipMessage) -> MembershipKind {
    match message {
        MembershipMessage::Ack {
            number,
            relayed,
            updates,
        } => MembershipKind::Ack(WireAck {
            number: *number,
            relayed: *relayed,
            updates: WireUpdates::from_updates(updates),
        }),
        MembershipMessage::Busy {
            retry_after,
            updates,
        } => MembershipKind::Busy(WireBusy {
            retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
            updates: WireUpdates::from_updates(updates),
        }),
        MembershipMessage::DetailReply {
            details,
            service,
            updates,
        } => MembershipKind::DetailReply(WireDetailReply {
            details: details.iter().map(Into::into).collect(),
            service: service.to_string(),
            updates: WireUpdates::from_updates(updates),
        }),
        MembershipMessage::DetailRequest { digest, service } => {
            MembershipKind::DetailRequest(WireDetailRequest {
                digest: *digest,
                service: service.to_string(),
            })
        }
        MembershipMessage::DigestReply { buckets } => MembershipKind::DigestReply(WireDigests {
            buckets: buckets.clone(),
        }),
        MembershipMessage::DigestRequest { root } => MembershipKind::DigestRequest(*root),
        MembershipMessage::Gossip { updates } => {
            MembershipKind::Gossip(WireUpdates::from_updates(updates).unwrap_or_default())
        }
        MembershipMessage::Nack { number } => MembershipKind::Nack(*number),
        MembershipMessage::Ping { number, updates } => MembershipKind::Ping(WirePing {
            number: *number,
            updates: WireUpdates::from_updates(updates),
        }),
        MembershipMessage::PingRequest {
            address,
            number,
            subject,
        } => MembershipKind::PingRequest(WirePingRequest {
            ip: encode_ip(address.ip()),
            number: *number,
            port: address.port().into(),
            subject: subject.to_string(),
        }),
        MembershipMessage::StateReply { buckets, updates } => {
            MembershipKind::StateReply(WireStateReply {
                buckets: buckets.words().to_vec(),
                updates: WireUpdates::from_updates(updates),
            })
        }
        MembershipMessage::StateRequest {
            announcement,
            buckets,
        } => MembershipKind::StateRequest(WireStateRequest {
            announcement: WireUpdates::from_updates(&[MemberUpdate::Announcement(
                announcement.clone(),
            )]),
            buckets: buckets.words().to_vec(),
        }),
    }
}
