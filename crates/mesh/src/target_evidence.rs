use std::{collections::BTreeMap, rc::Rc, time::Duration};

use crate::{RouteKey, RunCounts};

/// The most routes that are counted each by itself, which bounds the size of reports.
const MAX_ROUTES: usize = 24;

/// The key under which the runs of all further routes are counted.
const OTHER_ROUTES: RouteKey = RouteKey(0);

/// The runs at one target since its start, as counted by its gate and reported to other daemons.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetEvidence {
    /// The target's start in Unix milliseconds; 0 if it isn't known.
    pub born_ms: u64,
    /// The counts by route.
    pub routes: BTreeMap<RouteKey, RunCounts>,
    /// The target's id.
    pub target_id: Rc<str>,
    /// The target's version.
    pub version: Rc<str>,
}

impl TargetEvidence {
    /// Creates the empty counts of a target that started.
    #[must_use]
    pub const fn new(target_id: Rc<str>, born_ms: u64, version: Rc<str>) -> Self {
        Self {
            born_ms,
            routes: BTreeMap::new(),
            target_id,
            version,
        }
    }

    /// Counts a run that ended. A run that the target refused, or that its caller gave up, isn't one.
    pub fn record(&mut self, route: RouteKey, run_time: Duration, failed: bool) {
        let is_counted_alone =
            self.routes.contains_key(&route) || self.routes.len() < MAX_ROUTES - 1;
        let key = if is_counted_alone {
            route
        } else {
            OTHER_ROUTES
        };
        self.routes.entry(key).or_default().record(run_time, failed);
    }
}
