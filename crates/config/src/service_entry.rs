use std::time::Duration;

use medlarspool_types::ServiceName;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// One service that plans may include, and the limits of a request to it.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// The largest accepted request body, in bytes.
    pub max_request_bytes: u64,
    /// The service's name, unique in the list.
    pub service: ServiceName,
    /// The timeout of a request that names no deadline; milliseconds in the lists and their encodings.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub timeout_ms: Duration,
}
