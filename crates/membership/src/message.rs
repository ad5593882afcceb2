use std::time::Duration;

use medlarspool_types::{Address, InstanceId, ServiceName};

use crate::{Announcement, BucketSet, MemberUpdate, UpstreamDetail, datagram_space::DatagramSpace};

/// A message of the membership protocol; each fits one datagram.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Acknowledges a ping.
    Ack {
        /// The number of the ping, or of the requester's probe if relayed.
        number: u64,
        /// Whether the ack answers an indirect probe and is forwarded by the peer that sent the
        /// ping.
        relayed: bool,
        /// Piggybacked updates.
        updates: Vec<MemberUpdate>,
    },
    /// Refuses a request for state until later.
    Busy {
        /// How long to wait before the next request.
        retry_after: Duration,
        /// Announcements of other members to ask.
        updates: Vec<MemberUpdate>,
    },
    /// Answers a request for the details of a service's upstreams.
    DetailReply {
        /// The details of the service's upstreams; none if the replying daemon does not route to it.
        details: Vec<UpstreamDetail>,
        /// The service that was asked for.
        service: ServiceName,
        /// Announcements of members with an upstream of the service, if the replying daemon does
        /// not route to it.
        updates: Vec<MemberUpdate>,
    },
    /// Requests the details of a service's upstreams.
    DetailRequest {
        /// The digest of the details that the requester has.
        digest: u64,
        /// The service.
        service: ServiceName,
    },
    /// Answers the digest of a whole view with the digests of all buckets, to find the buckets that
    /// differ.
    DigestReply {
        /// The digest of each bucket in ascending order, or none if the views are the same.
        buckets: Vec<u32>,
    },
    /// Compares the views of two members.
    DigestRequest {
        /// The digest of the sender's view.
        root: u64,
    },
    /// Pushes updates.
    Gossip {
        /// The updates.
        updates: Vec<MemberUpdate>,
    },
    /// Reports that the subject of a ping request did not answer, so that the requester knows that
    /// its own messages get through.
    Nack {
        /// The number of the requester's probe.
        number: u64,
    },
    /// Probes a member.
    Ping {
        /// The number that the ack repeats.
        number: u64,
        /// Piggybacked updates.
        updates: Vec<MemberUpdate>,
    },
    /// Asks a peer to ping the subject of an indirect probe.
    PingRequest {
        /// The address of the subject.
        address: Address,
        /// The number of the requester's probe.
        number: u64,
        /// The member to ping.
        subject: InstanceId,
    },
    /// Answers a request for state.
    StateReply {
        /// The buckets whose records have all been sent with this message; none if further messages with
        /// records of the same bucket follow.
        buckets: BucketSet,
        /// Records of the requested buckets.
        updates: Vec<MemberUpdate>,
    },
    /// Requests the records of buckets, as many whole buckets as fit one datagram.
    StateRequest {
        /// The requester's announcement, so that a joining daemon becomes known at once.
        announcement: Announcement,
        /// The buckets that the requester still lacks.
        buckets: BucketSet,
    },
}

/// The maximum bytes of a message without its updates, details, strings and digests.
const BASE_BYTES: usize = 48;

/// The maximum bytes of a detail on the wire without its instance.
const DETAIL_BYTES: usize = 61;

impl Message {
    /// Returns the maximum bytes that the message takes on the wire, without the envelope and the
    /// IP and UDP headers.
    #[must_use]
    pub fn max_bytes(&self) -> usize {
        let rest = match self {
            Self::Ack { updates, .. }
            | Self::Busy { updates, .. }
            | Self::Gossip { updates }
            | Self::Ping { updates, .. }
            | Self::StateReply { updates, .. } => DatagramSpace::bytes_of(updates),
            Self::DetailReply {
                details,
                service,
                updates,
            } => {
                let instances = details.iter().map(|detail| detail.instance.as_str().len());
                let details = details.len() * DETAIL_BYTES + instances.sum::<usize>();
                details + service.as_str().len() + DatagramSpace::bytes_of(updates)
            }
            Self::DetailRequest { service, .. } => service.as_str().len(),
            Self::DigestReply { buckets } => size_of_val(buckets.as_slice()),
            Self::DigestRequest { .. } | Self::Nack { .. } => 0,
            Self::PingRequest { subject, .. } => subject.as_str().len(),
            Self::StateRequest { announcement, .. } => {
                DatagramSpace::bytes_of(&[MemberUpdate::Announcement(announcement.clone())])
            }
        };
        BASE_BYTES + rest
    }
}
