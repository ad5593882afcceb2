use medlarspool_types::{AvailabilityZone, ConfigVersion, InstanceId};
use serde::{Deserialize, Serialize};

/// What a daemon knows of one daemon.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct InstanceStatus {
    /// Where the instance stands.
    pub availability_zone: AvailabilityZone,
    /// How long ago its version was last heard, in milliseconds.
    pub heard_ms_ago: u64,
    /// The instance.
    pub instance: InstanceId,
    /// Whether it lives, as far as membership knows: `alive`, `suspect`, `leaving` or the like.
    pub state: String,
    /// How the upstream beside it stands: `serving`, `leaving`, `lapsed`, `refusing` or `absent`.
    #[serde(default)]
    pub upstream: String,
    /// The version that it holds.
    pub version: ConfigVersion,
}
