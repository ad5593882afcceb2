use std::time::SystemTime;

use medlarspool_types::{Address, AvailabilityZone, Incarnation, InstanceId};

/// One of the few table rows of an availability zone by which a new daemon finds the others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SeedRow {
    /// The availability zone.
    pub availability_zone: AvailabilityZone,
    /// Where the daemon takes datagrams.
    pub control_address: Address,
    /// When the row lapses, since the epoch, because others read it.
    pub expires: SystemTime,
    /// The life of the daemon.
    pub incarnation: Incarnation,
    /// The daemon.
    pub instance: InstanceId,
    /// Which of the availability zone's rows this is.
    pub slot: u8,
}
