use std::collections::BTreeMap;

use medlarspool_types::ServiceName;
use serde::Serialize;

use crate::upstream_record::UpstreamRecord;

/// The known upstreams by service. It is replaced as a whole, so that readers need no lock.
#[derive(Debug, Default, Serialize)]
pub(crate) struct Directory {
    upstreams: BTreeMap<ServiceName, Vec<UpstreamRecord>>,
}

impl Directory {
    /// Returns the known upstreams of a service; empty if there is none.
    pub(crate) fn upstreams(&self, service: &ServiceName) -> &[UpstreamRecord] {
        self.upstreams.get(service).map_or(&[], Vec::as_slice)
    }
}

impl FromIterator<UpstreamRecord> for Directory {
    fn from_iter<I: IntoIterator<Item = UpstreamRecord>>(records: I) -> Self {
        let mut upstreams: BTreeMap<ServiceName, Vec<UpstreamRecord>> = BTreeMap::new();
        for record in records {
            upstreams
                .entry(record.service.clone())
                .or_default()
                .push(record);
        }
        Self { upstreams }
    }
}
