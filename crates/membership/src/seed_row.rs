use std::time::SystemTime;

use medlarspool_types::{Address, AvailabilityZone, Incarnation, InstanceId};

/// One of the few rows per availability zone in the store, each of which names a daemon that a new
/// daemon contacts to join.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SeedRow {
    /// The availability zone.
    pub availability_zone: AvailabilityZone,
    /// The address at which the daemon receives datagrams.
    pub control_address: Address,
    /// When the row expires, in system time because other daemons read it.
    pub expires: SystemTime,
    /// The incarnation of the daemon.
    pub incarnation: Incarnation,
    /// The instance of the daemon.
    pub instance: InstanceId,
    /// The index of the row within its availability zone.
    pub slot: u8,
}
