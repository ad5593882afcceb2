use std::collections::BTreeMap;

use medlarspool_types::InstanceId;

/// The living members, in a list from which a random one is drawn in constant time.
#[derive(Debug, Default)]
pub(crate) struct LivingList {
    instances: Vec<InstanceId>,
    /// The index of each member in `instances`.
    positions: BTreeMap<InstanceId, usize>,
}

impl LivingList {
    pub(crate) fn draw(&self, random: &mut fastrand::Rng) -> Option<&InstanceId> {
        random.choice(&self.instances)
    }

    /// Adds a member unless it is in the list.
    pub(crate) fn insert(&mut self, instance: &InstanceId) {
        if !self.positions.contains_key(instance) {
            self.positions
                .insert(instance.clone(), self.instances.len());
            self.instances.push(instance.clone());
        }
    }

    pub(crate) fn instances(&self) -> &[InstanceId] {
        &self.instances
    }

    pub(crate) fn remove(&mut self, instance: &InstanceId) {
        let Some(position) = self.positions.remove(instance) else {
            return;
        };
        self.instances.swap_remove(position);
        if let Some(moved) = self.instances.get(position) {
            self.positions.insert(moved.clone(), position);
        }
    }
}
