use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use medlarspool_types::{ConfigHead, ConfigVersion};

/// A version and when a daemon applied it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AppliedVersion {
    pub(crate) at: Instant,
    pub(crate) version: ConfigVersion,
}

/// Identifies one incarnation of one daemon; unique among all incarnations of all daemons.
pub(crate) type IncarnationNumber = u64;

#[derive(Debug, Default)]
struct RecordedState {
    applied: BTreeMap<IncarnationNumber, Vec<AppliedVersion>>,
    ready: BTreeMap<IncarnationNumber, Instant>,
    violations: u64,
}

/// The versions that the daemons of one fleet applied, and the number of violated invariants.
#[derive(Debug, Default)]
pub struct ConvergenceRecord(Mutex<RecordedState>);

impl ConvergenceRecord {
    /// Returns how often an invariant was violated. That is when a daemon applied an older version than before;
    /// applied lists whose digest differs from the head's, or in which a plan names a missing service; could not
    /// open a datagram; or sent a datagram that is too large.
    #[must_use]
    pub fn violations(&self) -> u64 {
        self.lock().violations
    }

    pub(crate) fn record_applied(&self, incarnation: IncarnationNumber, head: ConfigHead) {
        let applied_version = AppliedVersion {
            at: Instant::now(),
            version: head.version,
        };
        let mut state = self.lock();
        let versions = state.applied.entry(incarnation).or_default();
        let went_back = versions
            .last()
            .is_some_and(|last| last.version > applied_version.version);
        versions.push(applied_version);
        state.violations += u64::from(went_back);
    }

    pub(crate) fn record_ready(&self, incarnation: IncarnationNumber) {
        self.lock()
            .ready
            .entry(incarnation)
            .or_insert_with(Instant::now);
    }

    pub(crate) fn record_violation(&self) {
        self.lock().violations += 1;
    }

    /// Returns when an incarnation first held this version or a newer one.
    pub(crate) fn held_at(
        &self,
        incarnation: IncarnationNumber,
        version: ConfigVersion,
    ) -> Option<Instant> {
        let state = self.lock();
        let mut applied = state.applied.get(&incarnation)?.iter();
        applied
            .find(|applied_version| applied_version.version >= version)
            .map(|applied_version| applied_version.at)
    }

    /// Returns when an incarnation was first ready.
    pub(crate) fn ready_at(&self, incarnation: IncarnationNumber) -> Option<Instant> {
        self.lock().ready.get(&incarnation).copied()
    }

    fn lock(&self) -> MutexGuard<'_, RecordedState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
