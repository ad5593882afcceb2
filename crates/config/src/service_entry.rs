use std::time::Duration;

use medlarspool_types::ServiceName;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// One service that plans may use, and the bounds of a request to it.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// The largest request body that is passed on, in bytes.
    pub max_request_bytes: u64,
    /// The service.
    pub service: ServiceName,
    /// The time after which a request that names no deadline is given up.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub timeout_ms: Duration,
}
