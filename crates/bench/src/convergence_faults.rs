use std::time::Duration;

use medlarspool_types::AvailabilityZone;

/// The network faults between the daemons of the convergence bench.
#[derive(Clone, Debug, Default)]
pub struct ConvergenceFaults {
    /// The availability zone that is partitioned from the other zones and from the store.
    pub cut_zone: Option<AvailabilityZone>,
    /// The share of datagrams that arrive twice, from 0 to 1.
    pub duplicated_share: f64,
    /// The longest additional delay of a datagram.
    pub max_delay: Duration,
    /// The share of datagrams that are lost, from 0 to 1.
    pub lost_share: f64,
}
