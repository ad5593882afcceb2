use std::{collections::HashMap, time::Instant};

use fastrand::Rng;
use medlarspool_types::{AvailabilityZone, InstanceId, ServiceName};

use crate::{
    AnnouncedUpstream, CallOutcome, CallSettings, Choice, LoadReport, UpstreamPool, UpstreamStatus,
};

/// All upstreams that an entry may choose from, by service.
///
/// A choice costs the same whatever the size of the fleet. Each [`UpstreamTable::choose`] that
/// returns a choice must be followed by one [`UpstreamTable::finish`].
#[derive(Debug)]
pub struct UpstreamTable {
    availability_zone: AvailabilityZone,
    pools: HashMap<ServiceName, UpstreamPool>,
    settings: CallSettings,
}

impl UpstreamTable {
    /// Makes the empty table of an entry in `availability_zone`.
    #[must_use]
    pub fn new(settings: &CallSettings, availability_zone: AvailabilityZone) -> Self {
        Self {
            availability_zone,
            pools: HashMap::new(),
            settings: settings.clone(),
        }
    }

    /// Takes in an announcement; call it again when the slots or the address change.
    pub fn announce(&mut self, now: Instant, service: &ServiceName, announced: AnnouncedUpstream) {
        let is_local = announced.availability_zone == self.availability_zone;
        self.pools
            .entry(service.clone())
            .or_default()
            .announce(now, announced, is_local);
    }

    /// Forgets an upstream that is gone.
    pub fn remove(&mut self, service: &ServiceName, instance: &InstanceId) {
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        pool.remove(instance);
        if pool.upstreams().is_empty() {
            self.pools.remove(service);
        }
    }

    /// Takes in what membership says of an upstream.
    pub fn set_status(
        &mut self,
        service: &ServiceName,
        instance: &InstanceId,
        standing: UpstreamStatus,
    ) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.set_status(instance, standing);
        }
    }

    /// Chooses an upstream of the service that is not among `tried`, and counts the call.
    pub fn choose(
        &mut self,
        now: Instant,
        random: &mut Rng,
        service: &ServiceName,
        tried: &[InstanceId],
    ) -> Option<Choice> {
        let pool = self.pools.get_mut(service)?;
        pool.choose(now, random, &self.settings, tried)
    }

    /// Takes in how a call ended, with the load report that came with its answer.
    pub fn finish(
        &mut self,
        now: Instant,
        service: &ServiceName,
        instance: &InstanceId,
        outcome: CallOutcome,
        report: Option<LoadReport>,
    ) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.finish(now, instance, outcome, report, &self.settings);
        }
    }

    /// Returns a service's upstreams.
    #[must_use]
    pub fn pool(&self, service: &ServiceName) -> Option<&UpstreamPool> {
        self.pools.get(service)
    }
}
