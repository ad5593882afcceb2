use std::collections::BTreeMap;

use medlarspool_types::{ConfigHead, ConfigVersion, InstanceId};

use crate::DeltaUpdate;

/// The most buffered updates; beyond them the one with the newest base is dropped.
const MAX_UPDATES: usize = 32;

/// Updates that were received before they could be applied, for instance out of order.
#[derive(Debug, Default)]
pub(crate) struct OfferBuffer {
    by_base: BTreeMap<ConfigVersion, DeltaUpdate>,
    sender: Option<InstanceId>,
}

impl OfferBuffer {
    /// Buffers an update unless its base is older than the version in use or its result is no newer than its
    /// base.
    pub(crate) fn add(&mut self, head_in_use: ConfigHead, from: &InstanceId, update: DeltaUpdate) {
        if update.base.version < head_in_use.version || update.head.version <= update.base.version {
            return;
        }
        self.sender = Some(from.clone());
        self.by_base.insert(update.base.version, update);
        if self.by_base.len() > MAX_UPDATES {
            self.by_base.pop_last();
        }
    }

    /// Returns the sender of the last buffered update, which counts as the source of a whole chain.
    pub(crate) fn sender(&self) -> Option<InstanceId> {
        self.sender.clone()
    }

    /// Removes and returns the consecutive updates that start at exactly `head_in_use`.
    ///
    /// Updates with an older base are dropped, and so is the one that ends the chain because its base has
    /// another digest.
    pub(crate) fn take_chain(&mut self, head_in_use: ConfigHead) -> Vec<DeltaUpdate> {
        self.by_base = self.by_base.split_off(&head_in_use.version);
        let mut chain: Vec<DeltaUpdate> = Vec::new();
        let mut base = head_in_use;
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
