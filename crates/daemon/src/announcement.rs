use std::net::SocketAddr;

use medlarspool_types::ServiceName;
use serde::{Deserialize, Serialize};

/// What an upstream announces of itself to the daemon beside it. The announcement lapses unless it is renewed
/// within 10 s.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// The address on which the upstream accepts requests from the daemon.
    pub address: SocketAddr,
    /// Whether the upstream is still warming up.
    #[serde(default)]
    pub cold: bool,
    /// Whether the upstream is leaving and accepts no new work.
    #[serde(default)]
    pub draining: bool,
    /// The service that the upstream serves.
    pub service: ServiceName,
    /// How many requests the upstream runs at once.
    pub slots: u32,
}
