use medlarspool_types::{Address, AvailabilityZone, Incarnation, InstanceId, Region};

/// The identity, location and incarnation of a daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// The availability zone of its instance.
    pub availability_zone: AvailabilityZone,
    /// The address at which its gate accepts calls.
    pub call_address: Address,
    /// The address at which it receives datagrams.
    pub control_address: Address,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its instance.
    pub instance: InstanceId,
    /// The region of its availability zone.
    pub region: Region,
}
