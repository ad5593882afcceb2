use medlarspool_types::{Address, AvailabilityZone, InstanceId};

use crate::{MemberState, Message, SeedRow, ServiceKey};

/// What the daemon must do for the core.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Report that a member's state changed, for logs and for routing.
    MemberChanged {
        /// The member whose state changed.
        instance: InstanceId,
        /// The service of its upstream; none if it has announced none.
        service: Option<ServiceKey>,
        /// The new state.
        state: MemberState,
    },
    /// Read the seed rows of one availability zone, or of all.
    ReadSeedRows {
        /// The availability zone, or `None` for all.
        availability_zone: Option<AvailabilityZone>,
    },
    /// Send a datagram.
    Send {
        /// The address to which the datagram is sent.
        address: Address,
        /// The message.
        message: Message,
    },
    /// Report that the known upstreams of a service, or their details, changed.
    ServiceChanged {
        /// The service.
        service: ServiceKey,
    },
    /// Write a seed row, provided that the row in the store is still as it was read.
    WriteSeedRow {
        /// The row as it was read, or `None` if there was none.
        replaces: Option<SeedRow>,
        /// The row to write.
        row: SeedRow,
    },
}
