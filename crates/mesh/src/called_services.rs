use std::{collections::HashMap, rc::Rc};

use crate::{CalledService, RouteKey};

/// The weight of one run in the mean number of calls, which follows a change within some dozen runs.
const RUN_WEIGHT: f64 = 0.02;

/// The weight of one call or run in the mean share of those that failed.
const RESULT_WEIGHT: f64 = 0.05;

/// The share of failed runs from which on failed calls are held against a route. Calls may be attributed to a route
/// that makes none, but its runs don't fail then.
const MIN_FAILED_RUN_SHARE: f64 = 0.25;

/// The calls per run that a route is credited with before any call was seen, so that each running route gets a
/// part of the first one.
const INITIAL_CALLS_PER_RUN: f64 = 0.01;

/// Services that are called less often per run than this are not reported: such calls were attributed to the
/// wrong route, or the route no longer makes them.
const MIN_CALLS_PER_RUN: f64 = 0.02;

/// Learns which services the runs at one target call, from the calls that the target makes.
///
/// A call doesn't say which run makes it. It is attributed to the routes that are running, in proportion to the
/// calls that their runs are known to make. So most calls go to the route that makes them, but a route that makes
/// none keeps a part of them while its requests run beside those of another route. That is why failed calls are held
/// against a route only if its own runs fail, too.
#[derive(Debug, Default)]
pub struct CalledServices {
    failed_call_shares: HashMap<Rc<str>, f64>,
    failed_run_shares: HashMap<RouteKey, f64>,
    /// The mean calls per run, by route and service.
    routes: HashMap<RouteKey, HashMap<Rc<str>, f64>>,
}

impl CalledServices {
    /// Records that the target begins to run a request of a route.
    pub fn record_run(&mut self, route: RouteKey) {
        let calls_per_run = self.routes.entry(route).or_default();
        for calls in calls_per_run.values_mut() {
            *calls *= 1.0 - RUN_WEIGHT;
        }
    }

    /// Records a call to `service` that the target made while requests of these routes were running, one element
    /// for each request.
    pub fn record_call(&mut self, service: &Rc<str>, running: impl Iterator<Item = RouteKey>) {
        let known_calls = |route: &RouteKey| {
            let calls = self.routes.get(route).and_then(|calls| calls.get(service));
            calls.copied().unwrap_or_default() + INITIAL_CALLS_PER_RUN
        };
        let shares: Vec<(RouteKey, f64)> =
            running.map(|route| (route, known_calls(&route))).collect();
        let total: f64 = shares.iter().map(|(_, share)| share).sum();
        for (route, share) in shares {
            let calls_per_run = self.routes.entry(route).or_default();
            *calls_per_run.entry(service.clone()).or_default() += RUN_WEIGHT * share / total;
        }
    }

    /// Records how a call ended.
    pub fn record_call_result(&mut self, service: &Rc<str>, failed: bool) {
        let failed_share = self.failed_call_shares.entry(service.clone()).or_default();
        record_result(failed_share, failed);
    }

    /// Records how a run ended.
    pub fn record_run_result(&mut self, route: RouteKey, failed: bool) {
        record_result(self.failed_run_shares.entry(route).or_default(), failed);
    }

    /// Returns the services that a run of the route calls.
    #[must_use]
    pub fn of_route(&self, route: RouteKey) -> Vec<CalledService> {
        let failed_runs = self.failed_run_shares.get(&route);
        let needs_calls = failed_runs.is_some_and(|share| *share >= MIN_FAILED_RUN_SHARE);
        let failed_share = |service| match self.failed_call_shares.get(service) {
            Some(share) if needs_calls => *share,
            _ => 0.0,
        };
        let calls_per_run = self.routes.get(&route).into_iter().flatten();
        let called = calls_per_run.filter(|(_, calls)| **calls >= MIN_CALLS_PER_RUN);
        called
            .map(|(service, calls)| CalledService {
                calls_per_run: *calls,
                failed_share: failed_share(service),
                service: service.clone(),
            })
            .collect()
    }

    /// Forgets everything, since it doesn't hold for a new incarnation of the target.
    pub fn clear(&mut self) {
        *self = Self::default();
    }
}

fn record_result(failed_share: &mut f64, failed: bool) {
    *failed_share += (f64::from(u8::from(failed)) - *failed_share) * RESULT_WEIGHT;
}
