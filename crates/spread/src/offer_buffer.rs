use std::collections::BTreeMap;

use medlarspool_types::{ConfigHead, ConfigVersion, InstanceId};

use crate::DeltaUpdate;

/// The most updates that wait for the one before them.
const MAX_UPDATES: usize = 32;

/// Updates that came before the version that they start from was in use.
#[derive(Debug, Default)]
pub(crate) struct OfferBuffer {
    by_base: BTreeMap<ConfigVersion, DeltaUpdate>,
    sender: Option<InstanceId>,
}

impl OfferBuffer {
    /// Keeps an update that is not older than the version in use.
    pub(crate) fn add(&mut self, held: ConfigHead, from: &InstanceId, update: DeltaUpdate) {
        if update.base.version < held.version || update.head.version <= update.base.version {
            return;
        }
        self.sender = Some(from.clone());
        self.by_base.insert(update.base.version, update);
        if self.by_base.len() > MAX_UPDATES {
            self.by_base.pop_last();
        }
    }

    /// Returns who gave the last update.
    pub(crate) fn sender(&self) -> Option<InstanceId> {
        self.sender.clone()
    }

    /// Takes out the updates that lead on from exactly the version in use.
    pub(crate) fn take_chain(&mut self, held: ConfigHead) -> Vec<DeltaUpdate> {
        self.by_base = self.by_base.split_off(&held.version);
        let mut chain: Vec<DeltaUpdate> = Vec::new();
        let mut base = held;
        while let Some(update) = self.by_base.remove(&base.version) {
            if update.base != base {
                break;
            }
            base = update.head;
            chain.push(update);
        }
        chain
    }
}
