use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use medlarspool_types::{Clock, SystemClock};

use crate::{
    FakeCounts, FakeFaults, Platform, PlatformError, Row, RowCondition, RowWrite, table_key,
};

/// A platform in memory, for tests and stand-ins; clones share one state.
#[derive(Clone)]
pub struct FakePlatform {
    clock: Arc<dyn Clock>,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    counts: FakeCounts,
    faults: FakeFaults,
    last_etag: u64,
    undelivered_writes: Vec<LateWrite>,
    objects: BTreeMap<String, Vec<u8>>,
    read_window: CallWindow,
    rows: BTreeMap<String, Row>,
    write_window: CallWindow,
}

/// Counts the calls in windows of one second, each of which begins with its first call.
#[derive(Default)]
struct CallWindow {
    calls: u64,
    start: Option<Instant>,
}

struct LateWrite {
    remaining_calls: u32,
    write: Write,
}

enum Write {
    Object(String, Vec<u8>),
    Rows(Vec<RowWrite>),
}

impl FakePlatform {
    /// Creates an empty platform that measures call rates by `clock`.
    #[must_use]
    pub fn new(clock: Arc<dyn Clock>) -> Self {
        Self {
            clock,
            state: Arc::default(),
        }
    }

    /// Returns the counts of the calls so far.
    #[must_use]
    pub fn counts(&self) -> FakeCounts {
        self.lock().counts
    }

    /// Returns the faults that the platform currently injects.
    #[must_use]
    pub fn faults(&self) -> FakeFaults {
        self.lock().faults.clone()
    }

    /// Sets the faults that the platform injects from now on.
    pub fn set_faults(&self, faults: FakeFaults) {
        self.lock().faults = faults;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn delay(&self) {
        let delay = self.lock().faults.delay_ms;
        if !delay.is_zero() {
            std::thread::sleep(delay);
        }
    }

    fn read<T>(&self, read: impl FnOnce(&State) -> T) -> Result<T, PlatformError> {
        self.delay();
        let now = self.clock.now();
        let mut state = self.lock();
        state.counts.reads += 1;
        let peak = state.read_window.count(now);
        state.counts.peak_reads_per_second = state.counts.peak_reads_per_second.max(peak);
        state.refuse_if_down()?;
        state.deliver_late_writes();
        Ok(read(&state))
    }

    fn write(&self, write: Write) -> Result<(), PlatformError> {
        self.delay();
        let now = self.clock.now();
        let mut state = self.lock();
        state.counts.writes += 1;
        let peak = state.write_window.count(now);
        state.counts.peak_writes_per_second = state.counts.peak_writes_per_second.max(peak);
        state.refuse_if_down()?;
        state.deliver_late_writes();
        state.write(write)
    }
}

impl Default for FakePlatform {
    fn default() -> Self {
        Self::new(Arc::new(SystemClock))
    }
}

impl Platform for FakePlatform {
    fn get_object(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        table_key::check(name)?;
        self.read(|state| state.objects.get(name).cloned())
    }

    fn put_object(&self, name: &str, content: &[u8]) -> Result<(), PlatformError> {
        table_key::check(name)?;
        self.write(Write::Object(name.into(), content.into()))
    }

    fn get_row(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        table_key::check(key)?;
        self.read(|state| state.rows.get(key).cloned())
    }

    fn list_rows(&self, prefix: &str, limit: usize) -> Result<Vec<Row>, PlatformError> {
        self.read(|state| {
            let from = state.rows.range(prefix.to_owned()..);
            let matching = from.take_while(|(key, _)| key.starts_with(prefix));
            matching.take(limit).map(|(_, row)| row.clone()).collect()
        })
    }

    fn transact(&self, writes: &[RowWrite]) -> Result<(), PlatformError> {
        writes
            .iter()
            .try_for_each(|write| table_key::check(&write.key))?;
        self.write(Write::Rows(writes.to_vec()))
    }
}

impl State {
    fn refuse_if_down(&self) -> Result<(), PlatformError> {
        if self.faults.down {
            return Err(PlatformError::Unavailable(
                "the fake platform is set to be down".into(),
            ));
        }
        Ok(())
    }

    /// Applies a write unless a fault that is still to be injected loses or delays it; a lost answer hides the
    /// result of a write that was applied.
    fn write(&mut self, write: Write) -> Result<(), PlatformError> {
        if take_one(&mut self.faults.lost_writes) {
            return Err(PlatformError::OutcomeUnknown("the request was lost".into()));
        }
        if take_one(&mut self.faults.late_writes) {
            let remaining_calls = self.faults.late_by_calls.max(1);
            self.undelivered_writes.push(LateWrite {
                remaining_calls,
                write,
            });
            return Err(PlatformError::OutcomeUnknown("the request is late".into()));
        }
        let result = self.apply(write);
        if take_one(&mut self.faults.lost_answers) {
            return Err(PlatformError::OutcomeUnknown("the answer was lost".into()));
        }
        result
    }

    /// Counts the current call for each late write and applies the writes that have waited for enough calls.
    fn deliver_late_writes(&mut self) {
        for late in &mut self.undelivered_writes {
            late.remaining_calls = late.remaining_calls.saturating_sub(1);
        }
        let (due, late) = std::mem::take(&mut self.undelivered_writes)
            .into_iter()
            .partition(|late| late.remaining_calls == 0);
        self.undelivered_writes = late;
        for late in due {
            // The writer no longer waits for the result; a write whose conditions do not hold any more has
            // no effect.
            let _ = self.apply(late.write);
        }
    }

    fn apply(&mut self, write: Write) -> Result<(), PlatformError> {
        match write {
            Write::Object(name, content) => {
                self.objects.insert(name, content);
                Ok(())
            }
            Write::Rows(writes) => self.apply_rows(writes),
        }
    }

    fn apply_rows(&mut self, writes: Vec<RowWrite>) -> Result<(), PlatformError> {
        if let Some(failed) = writes.iter().find(|write| !self.condition_holds(write)) {
            let key = failed.key.clone();
            return Err(PlatformError::Conflict { key });
        }
        for RowWrite { key, value, .. } in writes {
            self.last_etag += 1;
            let etag = self.last_etag;
            match value {
                Some(value) => self.rows.insert(key.clone(), Row { etag, key, value }),
                None => self.rows.remove(&key),
            };
        }
        Ok(())
    }

    fn condition_holds(&self, write: &RowWrite) -> bool {
        let etag = self.rows.get(&write.key).map(|row| row.etag);
        match write.condition {
            RowCondition::Absent => etag.is_none(),
            RowCondition::Any => true,
            RowCondition::Matches(wanted) => etag == Some(wanted),
        }
    }
}

impl CallWindow {
    /// Counts a call and returns the number of calls in its window so far.
    fn count(&mut self, now: Instant) -> u64 {
        let start = *self.start.get_or_insert(now);
        if now.duration_since(start) >= Duration::from_secs(1) {
            self.start = Some(now);
            self.calls = 0;
        }
        self.calls += 1;
        self.calls
    }
}

/// Decrements a counter unless it is 0; returns whether it was above 0.
fn take_one(remaining: &mut u32) -> bool {
    let was_positive = *remaining > 0;
    *remaining = remaining.saturating_sub(1);
    was_positive
}
