//! Conversion between snapshots and updates.

use std::sync::Arc;

use medlarspool_config::{ConfigError, Delta, ListsPatch, Snapshot};

use crate::{DeltaUpdate, Refusal};

/// Returns the update that leads from one snapshot to a later one.
#[must_use]
pub fn update_between(base: &Snapshot, next: &Snapshot) -> DeltaUpdate {
    let delta = Delta::between(base, next);
    DeltaUpdate {
        base: delta.base(),
        delta: delta.encode().into(),
        head: delta.head(),
    }
}

/// Decodes an update from a message; the encoded delta contains both of its heads.
///
/// # Errors
///
/// Returns [`Refusal::Damaged`] if the delta can't be decoded.
pub fn decode_update(encoded: &[u8]) -> Result<DeltaUpdate, Refusal> {
    let delta = Delta::decode(encoded).map_err(|_| Refusal::Damaged)?;
    Ok(DeltaUpdate {
        base: delta.base(),
        delta: encoded.into(),
        head: delta.head(),
    })
}

/// Builds the snapshot that consecutive updates lead to, without changing the one in use.
///
/// The updates are merged first, so that the lists are copied, checked and digested only once.
///
/// # Errors
///
/// Returns [`Refusal::BaseMismatch`] if the updates aren't consecutive from `base`, and otherwise why an
/// update or the resulting lists were refused.
pub fn apply_updates(base: &Snapshot, updates: &[DeltaUpdate]) -> Result<Snapshot, Refusal> {
    let mut head = base.head();
    let mut changes = Vec::new();
    for update in updates {
        let delta = Delta::decode(&update.delta).map_err(|_| Refusal::Damaged)?;
        if delta.base() != head || delta.head().version <= head.version {
            return Err(Refusal::BaseMismatch);
        }
        changes.extend_from_slice(delta.patch().changes());
        head = delta.head();
    }
    let lists = ListsPatch::new(changes).apply(base.lists());
    let lists = lists.map_err(|_| Refusal::Invalid)?;
    Snapshot::build(head, Arc::new(lists)).map_err(|error| refusal_of(&error))
}

/// Returns the refusal that an error of the lists counts as.
#[must_use]
pub fn refusal_of(error: &ConfigError) -> Refusal {
    match error {
        ConfigError::Base { .. } | ConfigError::BaseDigest { .. } => Refusal::BaseMismatch,
        ConfigError::Decode { .. } | ConfigError::Digest { .. } => Refusal::Damaged,
        _ => Refusal::Invalid,
    }
}
