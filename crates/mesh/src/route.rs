use std::{rc::Rc, time::Duration};

use crate::{RetrySafety, RouteKey, WeightedService};

/// The part of a target latency that a run is assumed to take before any was measured.
const ASSUMED_RUN_SHARE: f64 = 0.3;

/// Where the requests of one host and path prefix go, and how they are treated.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The host that the request names.
    pub host: Rc<str>,
    /// Recognises the route on every daemon.
    pub key: RouteKey,
    /// The most targets that one request may be sent to.
    pub max_attempts: u32,
    /// The services, at least one.
    pub services: Vec<WeightedService>,
    /// The beginning of the paths, which starts and ends with a slash.
    pub prefix: Rc<str>,
    /// The rank, where 0 is the most urgent.
    pub rank: u32,
    /// What may be repeated.
    pub retry_safety: RetrySafety,
    /// The time within which an answer is worth most.
    pub target_latency: Duration,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
}

impl Route {
    /// Returns how long a run is assumed to take before any was measured.
    #[must_use]
    pub fn assumed_run(&self) -> Duration {
        self.target_latency.mul_f64(ASSUMED_RUN_SHARE)
    }
}
