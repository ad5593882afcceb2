use std::{net::SocketAddr, sync::mpsc::Sender};

use medlarspool_membership::SeedRow;
use medlarspool_proto::TransferReply;
use medlarspool_spread::SpreadEvent;
use medlarspool_types::{AvailabilityZone, ConfigHead, InstanceId, ServiceName};
use tokio::sync::oneshot;

use crate::Announcement;

/// The messages of other threads to the control thread.
pub(crate) enum ControlMessage {
    /// Ask all living members for their heads, because [`Self::Status`] follows.
    AskHeads,
    /// The gate of a peer could not be connected to.
    ConnectionRefused(InstanceId),
    /// A datagram arrived; its authentication tag is not checked yet.
    Datagram {
        /// The sender's address.
        address: SocketAddr,
        /// The encoded datagram, preceded by its authentication tag.
        sealed: Vec<u8>,
    },
    /// Send what is known of the members, for the dump page.
    DumpMembers(Sender<serde_json::Value>),
    /// A caller's request needs a service for which the directory has no upstream.
    InterestInService(ServiceName),
    /// The daemon leaves: it accepts no new work, and its peers are notified of that.
    Leave,
    /// Seed rows were read, or could not be read.
    SeedRows {
        /// The availability zone whose rows were requested; `None` stands for all.
        availability_zone: Option<AvailabilityZone>,
        /// The rows; `None` if the store could not be read.
        rows: Option<Vec<SeedRow>>,
    },
    /// An event for the spreading of configuration changes.
    Spread(SpreadEvent),
    /// Send which version each member is known to serve, for the status page.
    Status(Sender<serde_json::Value>),
    /// The daemon is stopping.
    Stop,
    /// A peer requests updates or whole lists.
    TransferRequested {
        /// Where the answer is sent.
        answer_sender: oneshot::Sender<TransferReply>,
        /// The version from which updates suffice; `None` requests whole lists.
        base: Option<ConfigHead>,
    },
    /// The upstream beside this daemon announced itself or renewed its announcement.
    UpstreamAnnounced(Announcement),
    /// The upstream beside this daemon refused a connection.
    UpstreamRefused,
}
