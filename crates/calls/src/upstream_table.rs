use std::{collections::HashMap, time::Instant};

use fastrand::Rng;
use medlarspool_types::{AvailabilityZone, InstanceId, ServiceName};

use crate::{
    AnnouncedUpstream, CallOutcome, CallSettings, Choice, LoadReport, UpstreamPool, UpstreamStatus,
};

/// All upstreams that an entry may choose from, by service.
///
/// The cost of a choice does not grow with the fleet unless the random draws find no candidate. Each
/// [`UpstreamTable::choose`] that returns a choice must be followed by one [`UpstreamTable::finish`].
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

    /// Adds or updates an announced upstream; call it again when its slots or its address change.
    pub fn announce(&mut self, now: Instant, service: &ServiceName, announced: AnnouncedUpstream) {
        let is_local = announced.availability_zone == self.availability_zone;
        self.pools
            .entry(service.clone())
            .or_default()
            .announce(now, announced, is_local);
    }

    /// Removes an upstream that can't be chosen any more, and the service's pool with its last one.
    pub fn remove(&mut self, service: &ServiceName, instance: &InstanceId) {
        let Some(pool) = self.pools.get_mut(service) else {
            return;
        };
        pool.remove(instance);
        if pool.upstreams().is_empty() {
            self.pools.remove(service);
        }
    }

    /// Sets what membership reports of an upstream.
    pub fn set_status(
        &mut self,
        service: &ServiceName,
        instance: &InstanceId,
        status: UpstreamStatus,
    ) {
        if let Some(pool) = self.pools.get_mut(service) {
            pool.set_status(instance, status);
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

    /// Records how a call ended and the load report that came with its answer, if any.
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

    /// Returns a service's upstreams, or `None` if none is announced.
    #[must_use]
    pub fn pool(&self, service: &ServiceName) -> Option<&UpstreamPool> {
        self.pools.get(service)
    }
}
