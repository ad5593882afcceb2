use medlarspool_types::{Address, AvailabilityZone, InstanceId};

/// An upstream as its gate announced it.
#[derive(Clone, Debug)]
pub struct AnnouncedUpstream {
    /// Where its gate is reached.
    pub address: Address,
    /// Where it stands.
    pub availability_zone: AvailabilityZone,
    /// The instance.
    pub instance: InstanceId,
    /// How many requests it says that it runs at once.
    pub slots: u32,
}
