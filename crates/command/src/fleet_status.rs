use medlarspool_types::ConfigVersion;
use serde::{Deserialize, Serialize};

use crate::InstanceStatus;

/// What one daemon knows of the whole fleet, as its `GET /status` answers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetStatus {
    /// The daemons that it knows, itself among them.
    pub instances: Vec<InstanceStatus>,
    /// The newest version that it has heard of.
    pub newest: ConfigVersion,
}

impl FleetStatus {
    /// Returns how many daemons hold at least a version.
    #[must_use]
    pub fn count_holders(&self, version: ConfigVersion) -> usize {
        let holders = self.instances.iter().filter(|each| each.version >= version);
        holders.count()
    }
}
