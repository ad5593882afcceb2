use medlarspool_types::{Address, AvailabilityZone, InstanceId};

/// An upstream as its gate announced it.
#[derive(Clone, Debug)]
pub struct AnnouncedUpstream {
    /// The address of its gate.
    pub address: Address,
    /// The availability zone that it runs in.
    pub availability_zone: AvailabilityZone,
    /// The instance that it runs on.
    pub instance: InstanceId,
    /// How many requests it runs concurrently, as announced.
    pub slots: u32,
}
