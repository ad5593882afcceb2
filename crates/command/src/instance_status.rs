use medlarspool_types::{AvailabilityZone, ConfigVersion, InstanceId};
use serde::{Deserialize, Serialize};

/// The state of one daemon as another daemon knows it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceStatus {
    /// The instance's availability zone.
    pub availability_zone: AvailabilityZone,
    /// The time since the queried daemon last received the instance's version, in milliseconds.
    pub heard_ms_ago: u64,
    /// The instance's id.
    pub instance: InstanceId,
    /// Its membership state: `alive`, `suspect`, `leaving` or the like.
    pub state: String,
    /// The state of the upstream on its instance: `serving`, `leaving`, `lapsed`, `refusing` or `absent`.
    #[serde(default)]
    pub upstream: String,
    /// The version that it holds.
    pub version: ConfigVersion,
}
