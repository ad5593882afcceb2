use medlarspool_types::{Address, AvailabilityZone, InstanceId, Region};

/// A daemon as the spreading of changes sees it: where it is and which links lead to it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SpreadPeer {
    /// Where its control datagrams go.
    pub address: Address,
    /// The availability zone it stands in.
    pub availability_zone: AvailabilityZone,
    /// Its name.
    pub instance: InstanceId,
    /// The region of its availability zone.
    pub region: Region,
}
