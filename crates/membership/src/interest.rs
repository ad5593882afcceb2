use std::{collections::BTreeMap, time::Instant};

use medlarspool_types::{InstanceId, ServiceName};

use crate::UpstreamDetail;

/// The detail of one service's upstreams, held while this daemon routes to it.
#[derive(Clone, Debug)]
pub(crate) struct Interest {
    pub(crate) details: BTreeMap<InstanceId, UpstreamDetail>,
    pub(crate) next_request: Instant,
    pub(crate) service: ServiceName,
}

impl Interest {
    pub(crate) fn new(service: ServiceName, now: Instant) -> Self {
        Self {
            details: BTreeMap::new(),
            next_request: now,
            service,
        }
    }

    /// Returns the digest of all detail held, which does not depend on order.
    pub(crate) fn digest(&self) -> u64 {
        let hashes = self.details.values().map(UpstreamDetail::hash);
        hashes.fold(0, |digest, hash| digest ^ hash)
    }

    /// Holds a detail unless a newer one is held, and returns whether that changed anything.
    pub(crate) fn put(&mut self, detail: UpstreamDetail) -> bool {
        let held = self.details.get(&detail.instance);
        let is_new = held.is_none_or(|held| detail.overrides(held));
        if is_new {
            self.details.insert(detail.instance.clone(), detail);
        }
        is_new
    }
}
