use std::{
    collections::BTreeMap,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use medlarspool_types::{ConfigHead, ConfigVersion};

/// When a daemon took a version into use.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Taken {
    pub(crate) at: Instant,
    pub(crate) version: ConfigVersion,
}

/// One process life: which daemon, and how often it was started before.
pub(crate) type Life = u64;

#[derive(Debug, Default)]
struct Log {
    lives: BTreeMap<Life, Vec<Taken>>,
    ready: BTreeMap<Life, Instant>,
    violations: u64,
}

/// What the daemons of one fleet took into use, and every broken promise.
#[derive(Debug, Default)]
pub struct ConvergenceRecord(Mutex<Log>);

impl ConvergenceRecord {
    /// Returns how often a version went back, wasn't an accepted one or held a dangling route.
    #[must_use]
    pub fn violations(&self) -> u64 {
        self.lock().violations
    }

    pub(crate) fn taken(&self, life: Life, head: ConfigHead) {
        let taken = Taken {
            at: Instant::now(),
            version: head.version,
        };
        let mut log = self.lock();
        let lives = log.lives.entry(life).or_default();
        let went_back = lives
            .last()
            .is_some_and(|last| last.version > taken.version);
        lives.push(taken);
        log.violations += u64::from(went_back);
    }

    pub(crate) fn ready(&self, life: Life) {
        self.lock().ready.entry(life).or_insert_with(Instant::now);
    }

    pub(crate) fn violated(&self) {
        self.lock().violations += 1;
    }

    /// Returns when a life first held this version or a newer one.
    pub(crate) fn held_at(&self, life: Life, version: ConfigVersion) -> Option<Instant> {
        let log = self.lock();
        let mut taken = log.lives.get(&life)?.iter();
        taken
            .find(|taken| taken.version >= version)
            .map(|taken| taken.at)
    }

    /// Returns when a life was first ready.
    pub(crate) fn ready_at(&self, life: Life) -> Option<Instant> {
        self.lock().ready.get(&life).copied()
    }

    fn lock(&self) -> MutexGuard<'_, Log> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
