use std::time::Duration;

use medlarspool_membership::{
    BucketSet, MemberUpdate, Message as MembershipMessage, UpstreamDetail,
};
use prost::Message;

use crate::{
    MembershipKind, ProtoError, WireAck, WireBusy, WireDetail, WireDetailReply, WireDetailRequest,
    WireDigests, WirePing, WirePingRequest, WireStateReply, WireStateRequest, WireUpdates,
    membership_announcement::{read_address, write_ip},
    membership_updates::read_id,
};

/// The message about members that one datagram carries. See `docs/design/membership.md`.
#[derive(Clone, Eq, Message, PartialEq)]
pub struct MembershipPayload {
    /// The message; none if this version does not know its kind.
    #[prost(
        oneof = "MembershipKind",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12"
    )]
    pub kind: Option<MembershipKind>,
}

impl From<&MembershipMessage> for MembershipPayload {
    fn from(message: &MembershipMessage) -> Self {
        Self {
            kind: Some(write_kind(message)),
        }
    }
}

impl TryFrom<MembershipPayload> for MembershipMessage {
    type Error = ProtoError;

    fn try_from(payload: MembershipPayload) -> Result<Self, Self::Error> {
        read_kind(payload.kind.ok_or(ProtoError::PayloadMissing)?)
    }
}

fn read_buckets(words: &[u64]) -> Result<BucketSet, ProtoError> {
    let words = <[u64; 4]>::try_from(words);
    words
        .map(BucketSet::from_words)
        .map_err(|_| ProtoError::Member("buckets".into()))
}

fn read_details(details: Vec<WireDetail>) -> Result<Vec<UpstreamDetail>, ProtoError> {
    details.into_iter().map(UpstreamDetail::try_from).collect()
}

fn read_kind(kind: MembershipKind) -> Result<MembershipMessage, ProtoError> {
    Ok(match kind {
        MembershipKind::Ack(ack) => MembershipMessage::Ack {
            number: ack.number,
            relayed: ack.relayed,
            updates: WireUpdates::read(ack.updates)?,
        },
        MembershipKind::Busy(busy) => MembershipMessage::Busy {
            retry_after: Duration::from_millis(busy.retry_after_ms),
            updates: WireUpdates::read(busy.updates)?,
        },
        MembershipKind::DetailReply(reply) => MembershipMessage::DetailReply {
            details: read_details(reply.details)?,
            service: read_id(reply.service)?,
            updates: WireUpdates::read(reply.updates)?,
        },
        MembershipKind::DetailRequest(request) => MembershipMessage::DetailRequest {
            digest: request.digest,
            service: read_id(request.service)?,
        },
        MembershipKind::DigestReply(digests) => MembershipMessage::DigestReply {
            buckets: digests.buckets,
        },
        MembershipKind::DigestRequest(root) => MembershipMessage::DigestRequest { root },
        MembershipKind::Gossip(updates) => MembershipMessage::Gossip {
            updates: WireUpdates::read(Some(updates))?,
        },
        MembershipKind::Nack(number) => MembershipMessage::Nack { number },
        MembershipKind::Ping(ping) => MembershipMessage::Ping {
            number: ping.number,
            updates: WireUpdates::read(ping.updates)?,
        },
        MembershipKind::PingRequest(request) => MembershipMessage::PingRequest {
            address: read_address(&request.ip, request.port)?,
            number: request.number,
            subject: read_id(request.subject)?,
        },
        MembershipKind::StateReply(reply) => MembershipMessage::StateReply {
            buckets: read_buckets(&reply.buckets)?,
            updates: WireUpdates::read(reply.updates)?,
        },
        MembershipKind::StateRequest(request) => read_state_request(request)?,
    })
}

fn read_state_request(request: WireStateRequest) -> Result<MembershipMessage, ProtoError> {
    let updates = WireUpdates::read(request.announcement)?;
    let Some(MemberUpdate::Announcement(announcement)) = updates.into_iter().next() else {
        return Err(ProtoError::PayloadMissing);
    };
    Ok(MembershipMessage::StateRequest {
        announcement,
        buckets: read_buckets(&request.buckets)?,
    })
}

fn write_kind(message: &MembershipMessage) -> MembershipKind {
    match message {
        MembershipMessage::Ack {
            number,
            relayed,
            updates,
        } => MembershipKind::Ack(WireAck {
            number: *number,
            relayed: *relayed,
            updates: WireUpdates::write(updates),
        }),
        MembershipMessage::Busy {
            retry_after,
            updates,
        } => MembershipKind::Busy(WireBusy {
            retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
            updates: WireUpdates::write(updates),
        }),
        MembershipMessage::DetailReply {
            details,
            service,
            updates,
        } => MembershipKind::DetailReply(WireDetailReply {
            details: details.iter().map(Into::into).collect(),
            service: service.to_string(),
            updates: WireUpdates::write(updates),
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
            MembershipKind::Gossip(WireUpdates::write(updates).unwrap_or_default())
        }
        MembershipMessage::Nack { number } => MembershipKind::Nack(*number),
        MembershipMessage::Ping { number, updates } => MembershipKind::Ping(WirePing {
            number: *number,
            updates: WireUpdates::write(updates),
        }),
        MembershipMessage::PingRequest {
            address,
            number,
            subject,
        } => MembershipKind::PingRequest(WirePingRequest {
            ip: write_ip(address.ip()),
            number: *number,
            port: address.port().into(),
            subject: subject.to_string(),
        }),
        MembershipMessage::StateReply { buckets, updates } => {
            MembershipKind::StateReply(WireStateReply {
                buckets: buckets.words().to_vec(),
                updates: WireUpdates::write(updates),
            })
        }
        MembershipMessage::StateRequest {
            announcement,
            buckets,
        } => MembershipKind::StateRequest(WireStateRequest {
            announcement: WireUpdates::write(&[MemberUpdate::Announcement(announcement.clone())]),
            buckets: buckets.words().to_vec(),
        }),
    }
}
