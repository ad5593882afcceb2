use medlarspool_types::ConfigVersion;
use serde::{Deserialize, Serialize};

use crate::{InstanceStatus, RefusedConfig};

/// One daemon's view of the whole fleet, as returned by its `GET /status`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FleetStatus {
    /// The daemons that it knows of, including itself.
    pub instances: Vec<InstanceStatus>,
    /// The newest version that it knows of.
    pub newest: ConfigVersion,
    /// The version that it can't put in force, since it isn't valid.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub refused_config: Option<RefusedConfig>,
}

impl FleetStatus {
    /// Returns the number of daemons that hold `version` or a newer one.
    #[must_use]
    pub fn count_holders(&self, version: ConfigVersion) -> usize {
        let holders = self.instances.iter().filter(|each| each.version >= version);
        holders.count()
    }
}
