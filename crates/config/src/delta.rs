use std::sync::Arc;

use medlarspool_types::ConfigHead;
use prost::Message;

use crate::{
    ConfigError, EntryChange, ListsPatch, Snapshot, limits, lists_codec,
    wire::{DeltaMessage, ListsMessage},
};

/// The difference between one version of the lists, the base, and another.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Delta {
    base: ConfigHead,
    head: ConfigHead,
    patch: ListsPatch,
}

impl Delta {
    /// Computes the difference between two snapshots.
    #[must_use]
    pub fn between(base: &Snapshot, next: &Snapshot) -> Self {
        Self {
            base: base.head(),
            head: next.head(),
            patch: ListsPatch::between(base.lists(), next.lists()),
        }
    }

    /// Returns the head of the only version that the delta applies to.
    #[must_use]
    pub fn base(&self) -> ConfigHead {
        self.base
    }

    /// Returns the head of the version that results.
    #[must_use]
    pub fn head(&self) -> ConfigHead {
        self.head
    }

    /// Returns the changed entries.
    #[must_use]
    pub fn patch(&self) -> &ListsPatch {
        &self.patch
    }

    /// Builds the resulting snapshot and leaves the base as it is.
    ///
    /// # Errors
    ///
    /// Fails if `base` has another head than the delta's base, if the resulting lists fail their checks, or if
    /// they don't have the digest that the delta names.
    pub fn apply(&self, base: &Snapshot) -> Result<Snapshot, ConfigError> {
        if base.head().version != self.base.version {
            return Err(ConfigError::Base {
                held: base.head().version,
                needed: self.base.version,
            });
        }
        if base.head().digest != self.base.digest {
            return Err(ConfigError::BaseDigest {
                version: self.base.version,
            });
        }
        let lists = self.patch.apply(base.lists())?;
        Snapshot::build(self.head, Arc::new(lists))
    }

    /// Encodes the delta in the form that [`Delta::decode`] reads; the encoding contains both
    /// heads.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut message = DeltaMessage {
            base: self.base.into(),
            head: self.head.into(),
            ..DeltaMessage::default()
        };
        let mut customers = Vec::new();
        let mut plans = Vec::new();
        let mut services = Vec::new();
        for change in self.patch.changes() {
            match change {
                EntryChange::PutCustomer(entry) => customers.push(entry),
                EntryChange::PutPlan(entry) => plans.push(entry),
                EntryChange::PutService(entry) => services.push(entry),
                EntryChange::RemoveCustomer(id) => message.removed_customers.push(id.to_string()),
                EntryChange::RemovePlan(id) => message.removed_plans.push(id.to_string()),
                EntryChange::RemoveService(id) => message.removed_services.push(id.to_string()),
            }
        }
        message.put = lists_codec::lists_message(customers, plans, services);
        message.encode_to_vec()
    }

    /// Decodes a delta; its lists are checked only when it is applied.
    ///
    /// # Errors
    ///
    /// Fails if it is too large or damaged.
    pub fn decode(encoded: &[u8]) -> Result<Self, ConfigError> {
        limits::check_encoded_size("delta, bytes", encoded, limits::MAX_DELTA_BYTES)?;
        let message = DeltaMessage::decode(encoded).map_err(lists_codec::decode_error)?;
        let mut changes = put_changes(message.put)?;
        for id in &message.removed_customers {
            changes.push(EntryChange::RemoveCustomer(lists_codec::parse_id(id)?));
        }
        for id in &message.removed_plans {
            changes.push(EntryChange::RemovePlan(lists_codec::parse_id(id)?));
        }
        for id in &message.removed_services {
            changes.push(EntryChange::RemoveService(lists_codec::parse_id(id)?));
        }
        Ok(Self {
            base: message.base.into(),
            head: message.head.into(),
            patch: ListsPatch::new(changes),
        })
    }
}

fn put_changes(message: ListsMessage) -> Result<Vec<EntryChange>, ConfigError> {
    let put = lists_codec::decode_entries(message)?;
    let customers = put.customers.into_iter().map(EntryChange::PutCustomer);
    let plans = put.plans.into_iter().map(EntryChange::PutPlan);
    let services = put.services.into_iter().map(EntryChange::PutService);
    Ok(customers.chain(plans).chain(services).collect())
}
