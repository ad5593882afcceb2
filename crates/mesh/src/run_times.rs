use std::{collections::HashMap, time::Duration};

use crate::RouteKey;

/// The weight of a new sample in the moving mean: old samples fade within about ten new ones.
const SAMPLE_WEIGHT: f64 = 0.12;

/// The longest sample, as a multiple of the mean, so that a single outlier doesn't dominate the mean.
const MAX_SAMPLE_FACTOR: f64 = 4.0;

/// The longest sample in any case: other daemons report run times, and a mean beyond the range of [`Duration`] would
/// cause a panic.
const MAX_SAMPLE: Duration = Duration::from_hours(1);

/// The mean run time of each route at one target.
#[derive(Clone, Debug, Default)]
pub struct RunTimes {
    by_route: HashMap<RouteKey, f64>,
}

impl RunTimes {
    /// Adds a measured run time; the mean starts from `assumed_run_time`.
    pub fn record(&mut self, route: RouteKey, run_time: Duration, assumed_run_time: Duration) {
        let mean_s = self
            .by_route
            .entry(route)
            .or_insert(assumed_run_time.as_secs_f64());
        let sample_s = run_time.min(MAX_SAMPLE).as_secs_f64();
        let sample_s = sample_s.min(*mean_s * MAX_SAMPLE_FACTOR);
        *mean_s += (sample_s - *mean_s) * SAMPLE_WEIGHT;
    }

    /// Returns the mean run time of a route, or `assumed_run_time` if none was measured.
    #[must_use]
    pub fn expected(&self, route: RouteKey, assumed_run_time: Duration) -> Duration {
        self.mean(route).unwrap_or(assumed_run_time)
    }

    /// Returns the mean run time of a route, if any run was measured.
    #[must_use]
    pub fn mean(&self, route: RouteKey) -> Option<Duration> {
        let mean_s = self.by_route.get(&route)?;
        Some(Duration::from_secs_f64(*mean_s))
    }

    /// Removes all mean run times, since they don't hold for a new incarnation of the target.
    pub fn clear(&mut self) {
        self.by_route.clear();
    }
}
