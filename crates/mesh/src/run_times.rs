use std::{collections::HashMap, time::Duration};

use crate::RouteKey;

/// The weight of a new sample in a mean: old ones fade within about ten.
const SAMPLE_WEIGHT: f64 = 0.12;

/// How much longer than usual a run may count in a mean, so that one outlier doesn't rule it.
const MAX_SAMPLE_FACTOR: f64 = 4.0;

/// How long the runs of each route take at one target.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    by_route: HashMap<RouteKey, f64>,
}

impl RunTimes {
    /// Takes in the time of a run.
    pub fn record(&mut self, route: RouteKey, run_time: Duration, assumed_run: Duration) {
        let mean_s = self
            .by_route
            .entry(route)
            .or_insert(assumed_run.as_secs_f64());
        let sample_s = run_time.as_secs_f64().min(*mean_s * MAX_SAMPLE_FACTOR);
        *mean_s += (sample_s - *mean_s) * SAMPLE_WEIGHT;
    }

    /// Returns the mean of a route, or `assumed_run` if none was measured.
    #[must_use]
    pub fn expected(&self, route: RouteKey, assumed_run: Duration) -> Duration {
        self.measured(route).unwrap_or(assumed_run)
    }

    /// Returns the mean of a route, if any run was measured.
    #[must_use]
    pub fn measured(&self, route: RouteKey) -> Option<Duration> {
        let mean_s = self.by_route.get(&route)?;
        Some(Duration::from_secs_f64(*mean_s))
    }

    /// Forgets all, for a new life of the target.
    pub fn clear(&mut self) {
        self.by_route.clear();
    }
}
