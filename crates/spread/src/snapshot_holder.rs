use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::{ArcSwapOption, Guard};
use medlarspool_types::ConfigHead;

use crate::Refusal;

/// Holds the snapshot in use; its version never decreases.
///
/// Loading a snapshot never blocks. A snapshot is stored only after it has been built and checked as a
/// whole, so a reader sees either all of a version or nothing of it.
#[derive(Debug)]
pub struct SnapshotHolder<T> {
    head: Mutex<ConfigHead>,
    snapshot: ArcSwapOption<T>,
}

impl<T> SnapshotHolder<T> {
    /// Returns the head in use; version 0 before the first.
    #[must_use]
    pub fn head(&self) -> ConfigHead {
        *self.head.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Borrows the snapshot in use, for as long as one request needs it.
    #[must_use]
    pub fn load(&self) -> Guard<Option<Arc<T>>> {
        self.snapshot.load()
    }

    /// Returns the snapshot in use, to be kept for longer than one request.
    #[must_use]
    pub fn load_full(&self) -> Option<Arc<T>> {
        self.snapshot.load_full()
    }

    /// Takes a snapshot into use unless a newer version, or another digest of its version, is in use.
    ///
    /// A snapshot with the head in use is accepted, because it may replace a damaged one.
    ///
    /// # Errors
    ///
    /// Returns [`Refusal::Stale`] if a newer version is in use, or [`Refusal::Conflict`] if another digest of
    /// this version is; the snapshot in use stays.
    pub fn swap_if_newer(&self, head: ConfigHead, snapshot: Arc<T>) -> Result<(), Refusal> {
        let mut current = self.head.lock().unwrap_or_else(PoisonError::into_inner);
        if head.version < current.version {
            return Err(Refusal::Stale);
        }
        if head.version == current.version && head != *current {
            return Err(Refusal::Conflict);
        }
        self.snapshot.store(Some(snapshot));
        *current = head;
        Ok(())
    }
}

impl<T> Default for SnapshotHolder<T> {
    fn default() -> Self {
        Self {
            head: Mutex::default(),
            snapshot: ArcSwapOption::empty(),
        }
    }
}
