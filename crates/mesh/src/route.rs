use std::{rc::Rc, time::Duration};

use crate::{RetrySafety, RouteKey, WeightedService};

/// The assumed run time before any run was measured, as a share of the target latency.
const ASSUMED_RUN_SHARE: f64 = 0.3;

/// The services that get the requests of one host and path prefix, and how these requests are handled.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The host, which is compared with the request's `Host` header in lower case.
    pub host: Rc<str>,
    /// Identifies the route on every daemon.
    pub key: RouteKey,
    /// The most targets at which one request may arrive; a refusal by a gate doesn't count.
    pub max_attempts: u32,
    /// The services that share the requests, at least one.
    pub services: Vec<WeightedService>,
    /// Whether the responses are large, so that the links of the targets' machines matter.
    pub is_download: bool,
    /// Whether clients need no key for its requests.
    pub is_public: bool,
    /// The path prefix, which starts and ends with a slash.
    pub prefix: Rc<str>,
    /// The rank of the requests, where 0 is the most urgent.
    pub rank: u32,
    /// Whether a request is sent again although it ran with an error or may have run.
    pub retry_safety: RetrySafety,
    /// The desired latency; an answer after it is late, but still better than none.
    pub target_latency: Duration,
    /// The longest time until the client gets an answer; a client can ask for a shorter one.
    pub timeout: Duration,
}

impl Route {
    /// Returns the assumed run time before any run was measured.
    #[must_use]
    pub fn assumed_run_time(&self) -> Duration {
        self.target_latency.mul_f64(ASSUMED_RUN_SHARE)
    }
}
