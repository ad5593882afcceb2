//! Builds new snapshots and replaces the one in use. This takes time, so it never runs on the control thread.

use std::sync::Arc;

use medlarspool_config::{Lists, Snapshot};
use medlarspool_proto::{TransferReply, decode_updates};
use medlarspool_spread::{
    DeltaUpdate, FetchOutcome, Refusal, apply_updates, refusal_of, update_between,
};

use crate::shared_state::SharedState;

/// Applies consecutive updates to the snapshot in use and installs the result.
pub(crate) fn install_updates(shared: &SharedState, updates: Vec<DeltaUpdate>) -> FetchOutcome {
    let built = shared
        .snapshot
        .load_full()
        .ok_or(Refusal::BaseMismatch)
        .and_then(|base| apply_updates(&base, &updates));
    match built {
        Ok(snapshot) => replace_snapshot(shared, snapshot, updates),
        Err(reason) => refuse(shared, reason),
    }
}

/// Installs a snapshot. If an older one is in use, also computes the update between them, which suffices for
/// peers that have the older one.
pub(crate) fn install_snapshot(shared: &SharedState, snapshot: Snapshot) -> FetchOutcome {
    let base = shared.snapshot.load_full();
    let base = base.filter(|base| base.head().version < snapshot.head().version);
    let update = base.map(|base| update_between(&base, &snapshot));
    replace_snapshot(shared, snapshot, Vec::from_iter(update))
}

/// Installs the updates or the whole lists that a peer sent.
pub(crate) fn install_transfer(shared: &SharedState, reply: &TransferReply) -> FetchOutcome {
    if let Some(retry_after) = reply.retry_after() {
        return FetchOutcome::Busy { retry_after };
    }
    if reply.deltas.is_empty() {
        let built = Lists::decode(&reply.lists)
            .and_then(|lists| Snapshot::build(reply.head(), Arc::new(lists)));
        return match built {
            Ok(snapshot) => install_snapshot(shared, snapshot),
            Err(error) => refuse(shared, refusal_of(&error)),
        };
    }
    match decode_updates(&reply.deltas) {
        Ok(updates) => install_updates(shared, updates),
        Err(_) => refuse(shared, Refusal::Damaged),
    }
}

/// Returns the reply to a peer's transfer request: the updates, or the whole lists if there are none.
pub(crate) fn transfer_reply(
    shared: &SharedState,
    updates: Option<&[DeltaUpdate]>,
) -> TransferReply {
    let Some(snapshot) = shared.snapshot.load_full() else {
        return TransferReply::default();
    };
    let encode_lists = || snapshot.lists().encode();
    TransferReply::granted(snapshot.head(), updates, encode_lists)
}

/// Returns whether the lists in use still match their digest, which is computed anew for this.
pub(crate) fn matches_digest(shared: &SharedState) -> bool {
    let snapshot = shared.snapshot.load_full();
    snapshot.is_none_or(|snapshot| snapshot.lists().digest() == snapshot.head().digest)
}

/// Puts a snapshot in use, unless a newer version or another digest of the same version is.
fn replace_snapshot(
    shared: &SharedState,
    snapshot: Snapshot,
    updates: Vec<DeltaUpdate>,
) -> FetchOutcome {
    let head = snapshot.head();
    if let Err(reason) = shared.snapshot.swap_if_newer(head, Arc::new(snapshot)) {
        return refuse(shared, reason);
    }
    shared.metrics.config_applied.inc();
    let version = i64::try_from(head.version.0).unwrap_or(i64::MAX);
    shared.metrics.config_version.set(version);
    log::info!(version = head.version.0; "configuration in use");
    FetchOutcome::Applied { head, updates }
}

/// Counts and logs a refused configuration.
fn refuse(shared: &SharedState, reason: Refusal) -> FetchOutcome {
    shared.metrics.config_refused.inc();
    let reason_text = reason.to_string();
    log::warn!(reason = reason_text.as_str(); "configuration refused");
    FetchOutcome::Refused(reason)
}
