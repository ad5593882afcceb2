use std::{net::SocketAddr, sync::mpsc::Sender};

use medlarspool_membership::SeedRow;
use medlarspool_proto::TransferReply;
use medlarspool_spread::SpreadEvent;
use medlarspool_types::{AvailabilityZone, ConfigHead, InstanceId, ServiceName};
use tokio::sync::oneshot;

use crate::Announcement;

/// What the edges tell the control thread.
pub(crate) enum ControlMessage {
    /// Someone is about to ask for the fleet's status, so the members are asked for their heads.
    RequestHeads,
    /// A connection to a peer's gate was refused.
    ConnectionRefused(InstanceId),
    /// A datagram of a peer came, still sealed.
    Datagram {
        /// Where it came from.
        address: SocketAddr,
        /// The datagram.
        sealed: Vec<u8>,
    },
    /// Someone asks for what is known of the members.
    DumpMembers(Sender<serde_json::Value>),
    /// A caller's request needs a service that the directory lacks.
    ServiceInterest(ServiceName),
    /// The daemon takes no new work.
    Leave,
    /// Seed rows were read, or could not be.
    SeedRows {
        /// Whose rows were asked for; nothing for all.
        availability_zone: Option<AvailabilityZone>,
        /// The rows, unless the store could not be read.
        rows: Option<Vec<SeedRow>>,
    },
    /// Something happened to the spreading of changes.
    Spread(SpreadEvent),
    /// Someone asks for what is known of the whole fleet.
    Status(Sender<serde_json::Value>),
    /// The daemon is stopping.
    Stop,
    /// A peer asks for lists.
    TransferRequested {
        /// Who waits for the answer.
        answer_sender: oneshot::Sender<TransferReply>,
        /// The version that the peer holds, if updates from it will do.
        base: Option<ConfigHead>,
    },
    /// The upstream beside this daemon announced itself or renewed.
    UpstreamAnnounced(Announcement),
    /// The upstream beside this daemon refused a connection.
    UpstreamRefused,
}
