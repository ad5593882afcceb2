use std::{
    net::SocketAddr,
    sync::{Arc, mpsc::Sender},
};

use medlarspool_config::Snapshot;
use medlarspool_membership::SeedRow;
use medlarspool_types::{AvailabilityZone, InstanceId, ServiceName};

use crate::Announcement;

/// What the edges tell the control thread.
pub(crate) enum ControlMessage {
    /// A checked configuration is ready to be put in use.
    Configuration(Arc<Snapshot>),
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
    Interest(ServiceName),
    /// The daemon takes no new work.
    Leave,
    /// The store was read; a failed read leaves everything as it is.
    PollDone,
    /// Seed rows were read, or could not be.
    SeedRows {
        /// Whose rows were asked for; nothing for all.
        availability_zone: Option<AvailabilityZone>,
        /// The rows, unless the store could not be read.
        rows: Option<Vec<SeedRow>>,
    },
    /// The daemon is stopping.
    Stop,
    /// The upstream beside this daemon announced itself or renewed.
    UpstreamAnnounced(Announcement),
    /// The upstream beside this daemon refused a connection.
    UpstreamRefused,
}
