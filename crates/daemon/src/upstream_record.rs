use std::net::SocketAddr;

use medlarspool_types::{AvailabilityZone, Incarnation, InstanceId, ServiceName};
use serde::{Deserialize, Serialize};

/// What the membership knows of one upstream and the gate beside it, as far as calls need it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct UpstreamRecord {
    pub(crate) availability_zone: AvailabilityZone,
    pub(crate) draining: bool,
    pub(crate) gate_address: SocketAddr,
    pub(crate) gate_incarnation: Incarnation,
    pub(crate) instance: InstanceId,
    pub(crate) service: ServiceName,
    pub(crate) slots: u32,
}
