use std::time::Duration;

use medlarspool_types::{Address, InstanceId, ServiceName};

use crate::{Announcement, BucketSet, MemberUpdate, UpstreamDetail, datagram_space::DatagramSpace};

/// What daemons say to each other about membership; each fits one datagram.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    /// Answers a ping.
    Ack {
        /// The number of the ping.
        number: u64,
        /// Whether a third daemon passes the answer on.
        relayed: bool,
        /// News.
        updates: Vec<MemberUpdate>,
    },
    /// Refuses a request for state for now.
    Busy {
        /// When to come back.
        retry_after: Duration,
        /// Others to ask.
        updates: Vec<MemberUpdate>,
    },
    /// Answers a request for a service's detail.
    DetailReply {
        /// The detail of its upstreams, or nothing if the asker's is the same.
        details: Vec<UpstreamDetail>,
        /// The service.
        service: ServiceName,
        /// Members with an upstream of the service, for an asker that knows too few.
        updates: Vec<MemberUpdate>,
    },
    /// Asks for the detail of a service's upstreams.
    DetailRequest {
        /// The digest of the detail that the asker holds.
        digest: u64,
        /// The service.
        service: ServiceName,
    },
    /// Answers a digest of the whole view with those of its buckets, to narrow a difference down.
    DigestReply {
        /// The digest of each bucket, or nothing if the views are the same.
        buckets: Vec<u32>,
    },
    /// Compares views.
    DigestRequest {
        /// The digest of the sender's view.
        root: u64,
    },
    /// Pushes news.
    Gossip {
        /// News.
        updates: Vec<MemberUpdate>,
    },
    /// Says that the subject of a ping request stayed silent, so that the asker knows itself heard.
    Nack {
        /// The number of the ping.
        number: u64,
    },
    /// Asks for a sign of life.
    Ping {
        /// The number that the answer carries.
        number: u64,
        /// News.
        updates: Vec<MemberUpdate>,
    },
    /// Asks a third daemon to ping another one.
    PingRequest {
        /// Where the subject is.
        address: Address,
        /// The number of the asker's ping.
        number: u64,
        /// Who to ping.
        subject: InstanceId,
    },
    /// Gives records.
    StateReply {
        /// The buckets that this completes.
        buckets: BucketSet,
        /// The records of these buckets.
        updates: Vec<MemberUpdate>,
    },
    /// Asks for records, as many as one datagram holds.
    StateRequest {
        /// The asker, so that a joiner is known at once.
        announcement: Announcement,
        /// The buckets wanted.
        buckets: BucketSet,
    },
}

/// The most bytes of a message beside its words, details, texts and digests.
const BASE_BYTES: usize = 48;

/// The most bytes of a detail on the wire beside its instance.
const DETAIL_BYTES: usize = 61;

impl Message {
    /// Returns the most bytes that the message takes on the wire, without envelope and framing.
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
