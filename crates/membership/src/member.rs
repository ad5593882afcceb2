use medlarspool_types::{Address, AvailabilityZone, Incarnation, InstanceId, Region};

/// Who and where a daemon is, and which life of it is meant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Member {
    /// Where it stands.
    pub availability_zone: AvailabilityZone,
    /// Where its gate takes calls.
    pub call_address: Address,
    /// Where it takes datagrams.
    pub control_address: Address,
    /// Its life.
    pub incarnation: Incarnation,
    /// Its instance.
    pub instance: InstanceId,
    /// The region of its availability zone.
    pub region: Region,
}
