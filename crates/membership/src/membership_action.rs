use medlarspool_types::{Address, AvailabilityZone, InstanceId};

use crate::{MemberState, Message, SeedRow, ServiceKey};

/// What the core asks of its daemon.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// A member's state changed; for logs and for what routes calls.
    MemberChanged {
        /// The member.
        instance: InstanceId,
        /// The service of its upstream.
        service: Option<ServiceKey>,
        /// How it stands now.
        state: MemberState,
    },
    /// Read the seed rows of one availability zone, or of all.
    ReadSeedRows {
        /// The availability zone, or nothing for all.
        availability_zone: Option<AvailabilityZone>,
    },
    /// Send a datagram.
    Send {
        /// Where to.
        address: Address,
        /// What.
        message: Message,
    },
    /// What is known of a service's upstreams changed.
    ServiceChanged {
        /// The service.
        service: ServiceKey,
    },
    /// Write a seed row, on the condition that it still is as it was read.
    WriteSeedRow {
        /// The row as it was read, or nothing if there was none.
        replaces: Option<SeedRow>,
        /// The row to write.
        row: SeedRow,
    },
}
