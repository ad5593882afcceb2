use std::{collections::HashMap, rc::Rc};

use crate::{CalledService, RouteKey};

/// The weight of the latest reply in what is known of a route.
const REPLY_WEIGHT: f64 = 0.1;

/// The share of calls that have to be served for all requests to be admitted. Below it, requests are admitted in
/// proportion: most of the runs would fail, after they had used their targets and the time of their clients.
const FULL_ADMISSION_SHARE: f64 = 0.1;

/// A service that fewer runs call than this, in calls per run, does not limit the admission of a route.
const MIN_LIMITING_CALLS: f64 = 0.2;

/// The least share of requests that is admitted, so that it is noticed when the calls are served again.
const MIN_ADMITTED_SHARE: f64 = 0.05;

/// What a run of each route costs the services behind it, as the gates report it in their replies.
#[derive(Debug, Default)]
pub struct RouteCosts {
    routes: HashMap<RouteKey, Vec<CalledService>>,
}

impl RouteCosts {
    /// Merges the services that a gate reported for a route into what is known.
    pub fn record(&mut self, route: RouteKey, reported: Vec<CalledService>) {
        let Some(known) = self.routes.get_mut(&route) else {
            self.routes.insert(route, reported);
            return;
        };
        for called in known.iter_mut() {
            let latest = reported
                .iter()
                .find(|reported| reported.service == called.service);
            let calls_per_run = latest.map_or(0.0, |latest| latest.calls_per_run);
            called.calls_per_run += (calls_per_run - called.calls_per_run) * REPLY_WEIGHT;
            if let Some(latest) = latest {
                called.failed_share += (latest.failed_share - called.failed_share) * REPLY_WEIGHT;
            }
        }
        for called in reported {
            if known.iter().all(|known| known.service != called.service) {
                known.push(called);
            }
        }
    }

    /// Returns the services that a run of the route calls; none if no gate has reported on the route.
    #[must_use]
    pub fn calls(&self, route: RouteKey) -> Option<&[CalledService]> {
        self.routes.get(&route).map(Vec::as_slice)
    }

    /// Returns what another arrival of a request at `service` costs: one retry there, and the calls of the run at
    /// the services that it calls, if they are known.
    #[must_use]
    pub fn of_retry(&self, route: RouteKey, service: &Rc<str>) -> Vec<(Rc<str>, f64)> {
        let calls = self.calls(route).unwrap_or_default();
        let own = std::iter::once((service.clone(), 1.0));
        own.chain(
            calls
                .iter()
                .map(|called| (called.service.clone(), called.calls_per_run)),
        )
        .collect()
    }

    /// Returns the share of a route's requests that is admitted, from 0 to 1: less than 1 if the services that its
    /// runs call are so short that most of the calls fail.
    ///
    /// Fewer runs make fewer calls, of which a greater share is served. So the share settles where the called
    /// services are still used in full, and less work is done in vain. Not all of it is avoided, since runs differ
    /// in whether they call at all: a request that needs no call would be refused for nothing.
    #[must_use]
    pub fn admitted_share(&self, route: RouteKey) -> f64 {
        let calls = self.calls(route).unwrap_or_default().iter();
        let limiting = calls.filter(|called| called.calls_per_run >= MIN_LIMITING_CALLS);
        limiting
            .map(|called| (1.0 - called.failed_share) / FULL_ADMISSION_SHARE)
            .fold(1.0, f64::min)
            .max(MIN_ADMITTED_SHARE)
    }

    /// Returns whether the calls that a run of the route makes fail so often that another run would most likely
    /// fail, too.
    #[must_use]
    pub fn calls_fail_mostly(&self, route: RouteKey) -> bool {
        let mut calls = self.calls(route).unwrap_or_default().iter();
        calls.any(CalledService::fails_mostly)
    }
}
