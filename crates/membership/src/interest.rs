use std::{collections::BTreeMap, time::Instant};

use medlarspool_types::{InstanceId, ServiceName};

use crate::UpstreamDetail;

/// The details of one service's upstreams, stored while this daemon routes to the service.
#[derive(Clone, Debug)]
pub(crate) struct Interest {
    pub(crate) details: BTreeMap<InstanceId, UpstreamDetail>,
    /// When the details are next requested from another daemon.
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

    /// Returns the digest of all details, which does not depend on their order.
    pub(crate) fn digest(&self) -> u64 {
        let hashes = self.details.values().map(UpstreamDetail::hash);
        hashes.fold(0, |digest, hash| digest ^ hash)
    }

    /// Stores a detail if it is newer than the stored one, and returns whether it was.
    pub(crate) fn put(&mut self, detail: UpstreamDetail) -> bool {
        let stored = self.details.get(&detail.instance);
        let is_new = stored.is_none_or(|stored| detail.overrides(stored));
        if is_new {
            self.details.insert(detail.instance.clone(), detail);
        }
        is_new
    }
}
