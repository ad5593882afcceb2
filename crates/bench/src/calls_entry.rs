use std::time::{Duration, Instant};

use fastrand::Rng;
use medlarspool_calls::{RetryBudget, UpstreamTable};
use medlarspool_types::{InstanceId, ServiceName};

use crate::{
    CallsScenario, ChoicePart, ChoicePolicy,
    calls_names::{parse_id, upstream_index},
    calls_upstream::CallsUpstream,
};

/// The entry role of one daemon of the model: it chooses upstreams and retries calls for its callers.
#[derive(Debug)]
pub(crate) struct Entry {
    /// The retry budget for each service, by the service's index.
    pub(crate) budgets: Vec<RetryBudget>,
    /// Whether the daemon's zone has failed, so that no more requests arrive here.
    pub(crate) is_down: bool,
    /// Whether the connection to an upstream was closed because no reply came in time, by the upstream's index.
    pub(crate) lost_connections: Vec<bool>,
    pub(crate) table: UpstreamTable,
    /// The index of the daemon's availability zone.
    pub(crate) zone: usize,
}

impl Entry {
    pub(crate) fn new(
        scenario: &CallsScenario,
        services: &[ServiceName],
        upstreams: &[CallsUpstream],
        zone: usize,
        now: Instant,
    ) -> Self {
        let settings = &scenario.settings;
        let own_zone = match scenario.policies.without {
            // No upstream is in this zone, so none is preferred.
            Some(ChoicePart::Zones) => parse_id("none"),
            _ => parse_id(&format!("z{zone}")),
        };
        let mut table = UpstreamTable::new(settings, own_zone);
        for upstream in upstreams {
            let announced = upstream.announced();
            table.announce(now, &services[upstream.service()], announced);
        }
        Self {
            budgets: services
                .iter()
                .map(|_| RetryBudget::new(settings))
                .collect(),
            is_down: false,
            lost_connections: vec![false; upstreams.len()],
            table,
            zone,
        }
    }

    /// Chooses an upstream that is not among `tried_instances`; returns its index and the expected time until
    /// its answer, which is 0 under [`ChoicePolicy::Random`], or `None` if there is no such upstream.
    pub(crate) fn choose(
        &mut self,
        policy: ChoicePolicy,
        now: Instant,
        random: &mut Rng,
        service: &ServiceName,
        tried_instances: &[InstanceId],
    ) -> Option<(usize, Duration)> {
        if policy == ChoicePolicy::LeastWait {
            let choice = self.table.choose(now, random, service, tried_instances)?;
            return Some((upstream_index(&choice.instance), choice.expected_latency));
        }
        let known = self.table.pool(service)?.upstreams();
        let candidates: Vec<usize> = known
            .iter()
            .filter(|upstream| !tried_instances.contains(upstream.instance()))
            .map(|upstream| upstream_index(upstream.instance()))
            .collect();
        let draw = random.usize(..candidates.len().max(1));
        Some((*candidates.get(draw)?, Duration::ZERO))
    }
}
