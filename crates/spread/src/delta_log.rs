use std::collections::VecDeque;

use medlarspool_types::{ConfigHead, ConfigVersion};

use crate::DeltaUpdate;

/// The recent updates of a daemon, each based on the one before it, for peers that are behind.
#[derive(Debug)]
pub struct DeltaLog {
    max_bytes: usize,
    size_bytes: usize,
    updates: VecDeque<DeltaUpdate>,
}

impl DeltaLog {
    /// Creates an empty log that drops its oldest updates beyond `max_bytes`.
    #[must_use]
    pub const fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            size_bytes: 0,
            updates: VecDeque::new(),
        }
    }

    /// Appends an update; if its base isn't the newest head of the log, the log is cleared first.
    pub fn push(&mut self, update: DeltaUpdate) {
        if self
            .updates
            .back()
            .is_some_and(|last| last.head != update.base)
        {
            self.clear();
        }
        self.size_bytes += update.wire_bytes();
        self.updates.push_back(update);
        while self.size_bytes > self.max_bytes {
            let Some(oldest) = self.updates.pop_front() else {
                break;
            };
            self.size_bytes -= oldest.wire_bytes();
        }
    }

    /// Removes every update, for instance after a whole snapshot whose updates are unknown.
    pub fn clear(&mut self) {
        self.size_bytes = 0;
        self.updates.clear();
    }

    /// Returns the size that the updates in the log take in datagrams, in bytes.
    #[must_use]
    pub const fn size_bytes(&self) -> usize {
        self.size_bytes
    }

    /// Returns the updates from `base` to the newest head, or `None` if none of them starts at that version
    /// and digest.
    #[must_use]
    pub fn since(&self, base: ConfigHead) -> Option<Vec<DeltaUpdate>> {
        let start = self.position(base.version)?;
        if self.updates[start].base != base {
            return None;
        }
        Some(self.updates.iter().skip(start).cloned().collect())
    }

    fn position(&self, base: ConfigVersion) -> Option<usize> {
        self.updates
            .binary_search_by_key(&base, |update| update.base.version)
            .ok()
    }
}
