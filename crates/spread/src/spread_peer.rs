use medlarspool_types::{Address, AvailabilityZone, InstanceId, Region};

/// A daemon's address, and the availability zone and region that decide the class of the link to it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SpreadPeer {
    /// The address that its control datagrams are sent to.
    pub address: Address,
    /// Its availability zone.
    pub availability_zone: AvailabilityZone,
    /// Its instance id.
    pub instance: InstanceId,
    /// The region of its availability zone.
    pub region: Region,
}
