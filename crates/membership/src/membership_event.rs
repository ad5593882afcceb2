use std::time::SystemTime;

use medlarspool_types::{Address, AvailabilityZone, Incarnation, InstanceId, ServiceName};

use crate::{Message, SeedRow, UpstreamAnnouncement};

/// What the daemon tells the core.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    /// A connection to a member's gate was refused, which real calls found out.
    ConnectionRefused {
        /// The member.
        instance: InstanceId,
    },
    /// This daemon now routes to a service and wants its detail.
    InterestBegan(ServiceName),
    /// This daemon no longer routes to a service.
    InterestEnded(ServiceName),
    /// This daemon takes no new work from now on.
    Leave,
    /// A datagram arrived.
    Received {
        /// Where it came from.
        address: Address,
        /// The life that sent it.
        incarnation: Incarnation,
        /// What it says.
        message: Message,
        /// Who sent it.
        sender: InstanceId,
    },
    /// Seed rows were read.
    SeedRowsRead {
        /// Whose rows were asked for.
        availability_zone: Option<AvailabilityZone>,
        /// The rows.
        rows: Vec<SeedRow>,
        /// The time since the epoch, by which leases of rows are judged.
        system_now: SystemTime,
    },
    /// Seed rows could not be read.
    SeedRowsUnavailable,
    /// This daemon stops now.
    Stop,
    /// The time that `next_wakeup` named has come.
    Tick,
    /// The local upstream announced itself or renewed.
    UpstreamAnnounced(UpstreamAnnouncement),
    /// The local upstream did not renew in time.
    UpstreamLapsed,
    /// The local upstream announced that it is leaving.
    UpstreamLeaving,
    /// The local upstream refused a connection.
    UpstreamRefused,
}
