use std::time::SystemTime;

use medlarspool_types::{Address, AvailabilityZone, Incarnation, InstanceId, ServiceName};

use crate::{Message, SeedRow, UpstreamAnnouncement};

/// An input to the core.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipEvent {
    /// A call found that a member's gate refused the connection.
    ConnectionRefused {
        /// The member whose gate refused it.
        instance: InstanceId,
    },
    /// This daemon now routes to a service and wants the details of its upstreams.
    InterestBegan(ServiceName),
    /// This daemon no longer routes to a service.
    InterestEnded(ServiceName),
    /// This daemon begins to leave: it takes no new work from now on.
    Leave,
    /// A datagram arrived.
    Received {
        /// The address of the sender.
        address: Address,
        /// The sender's incarnation.
        incarnation: Incarnation,
        /// The message.
        message: Message,
        /// The instance of the sender.
        sender: InstanceId,
    },
    /// Seed rows were read.
    SeedRowsRead {
        /// The availability zone whose rows were requested, or `None` for all.
        availability_zone: Option<AvailabilityZone>,
        /// The rows that the store returned.
        rows: Vec<SeedRow>,
        /// The system time at the read, against which the expiry of rows is compared.
        system_now: SystemTime,
    },
    /// Seed rows could not be read.
    SeedRowsUnavailable,
    /// This daemon stops now.
    Stop,
    /// The time that `next_wakeup` returned has come.
    Tick,
    /// The local upstream announced itself or renewed its announcement.
    UpstreamAnnounced(UpstreamAnnouncement),
    /// The local upstream did not renew its announcement in time.
    UpstreamLapsed,
    /// The local upstream announced that it is leaving.
    UpstreamLeaving,
    /// The local upstream refused a connection.
    UpstreamRefused,
}
