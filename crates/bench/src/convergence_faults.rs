use std::time::Duration;

use medlarspool_types::AvailabilityZone;

/// What goes wrong between the daemons of a bench.
#[derive(Clone, Debug, Default)]
pub struct ConvergenceFaults {
    /// The availability zone that nothing enters or leaves.
    pub cut_zone: Option<AvailabilityZone>,
    /// The share of datagrams that arrive twice.
    pub duplicated_share: f64,
    /// The most by which a datagram is late.
    pub max_delay: Duration,
    /// The share of datagrams that don't arrive.
    pub lost_share: f64,
}
