//! Interleaves the platform calls of several operators, each in its own thread, by a schedule.

use std::sync::{Condvar, Mutex, MutexGuard, PoisonError};

use medlarspool_platform::{FakeFaults, FakePlatform, Platform, PlatformError, Row, RowWrite};

/// The fault injected into one call.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Down,
    Late { by_calls: u32 },
    LostAnswer,
    LostWrite,
    None,
}

impl Fault {
    fn faults(self) -> FakeFaults {
        let mut faults = FakeFaults::default();
        match self {
            Self::Down => faults.down = true,
            Self::Late { by_calls } => {
                faults.late_by_calls = by_calls;
                faults.late_writes = 1;
            }
            Self::LostAnswer => faults.lost_answers = 1,
            Self::LostWrite => faults.lost_writes = 1,
            Self::None => {}
        }
        faults
    }
}

/// One step of a schedule: which operator's call comes next and which fault is injected into it.
#[derive(Clone, Copy, Debug)]
pub struct Step {
    pub fault: Fault,
    /// Chooses among the operators that are still active, modulo their number.
    pub operator_choice: usize,
}

/// Lets one operator's call through at a time, in the schedule's order.
pub struct Scheduler {
    current_changed: Condvar,
    platform: FakePlatform,
    state: Mutex<State>,
}

struct State {
    active: Vec<bool>,
    current: Option<usize>,
    schedule: Vec<Step>,
    step: usize,
    waiting: Vec<bool>,
}

impl Scheduler {
    pub fn new(platform: &FakePlatform, operators: usize, schedule: Vec<Step>) -> Self {
        Self {
            current_changed: Condvar::new(),
            platform: platform.clone(),
            state: Mutex::new(State {
                active: vec![true; operators],
                current: None,
                schedule,
                step: 0,
                waiting: vec![false; operators],
            }),
        }
    }

    pub fn platform_for(&self, operator: usize) -> ScheduledPlatform<'_> {
        ScheduledPlatform {
            operator,
            scheduler: self,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wait_until_chosen(&self, operator: usize) {
        let mut state = self.lock();
        state.waiting[operator] = true;
        if state.current == Some(operator) {
            state.current = None;
        }
        state.choose_next();
        self.current_changed.notify_all();
        while state.current != Some(operator) {
            state = self
                .current_changed
                .wait(state)
                .unwrap_or_else(PoisonError::into_inner);
        }
        state.waiting[operator] = false;
        let fault = state.schedule[state.step % state.schedule.len()].fault;
        self.platform.set_faults(fault.faults());
    }
}

impl State {
    /// Chooses the next operator once all active ones wait.
    fn choose_next(&mut self) {
        let active: Vec<usize> = (0..self.active.len())
            .filter(|operator| self.active[*operator])
            .collect();
        let all_wait = active.iter().all(|operator| self.waiting[*operator]);
        if self.current.is_some() || active.is_empty() || !all_wait {
            return;
        }
        self.step += 1;
        let operator_choice = self.schedule[self.step % self.schedule.len()].operator_choice;
        self.current = Some(active[operator_choice % active.len()]);
    }
}

/// The platform as one operator uses it; dropping it ends the operator's part in the schedule.
pub struct ScheduledPlatform<'scheduler> {
    operator: usize,
    scheduler: &'scheduler Scheduler,
}

impl Drop for ScheduledPlatform<'_> {
    fn drop(&mut self) {
        let mut state = self.scheduler.lock();
        state.active[self.operator] = false;
        if state.current == Some(self.operator) {
            state.current = None;
        }
        state.choose_next();
        self.scheduler.current_changed.notify_all();
    }
}

impl Platform for ScheduledPlatform<'_> {
    fn get_object(&self, name: &str) -> Result<Option<Vec<u8>>, PlatformError> {
        self.scheduler.wait_until_chosen(self.operator);
        self.scheduler.platform.get_object(name)
    }

    fn put_object(&self, name: &str, content: &[u8]) -> Result<(), PlatformError> {
        self.scheduler.wait_until_chosen(self.operator);
        self.scheduler.platform.put_object(name, content)
    }

    fn get_row(&self, key: &str) -> Result<Option<Row>, PlatformError> {
        self.scheduler.wait_until_chosen(self.operator);
        self.scheduler.platform.get_row(key)
    }

    fn list_rows(&self, prefix: &str, limit: usize) -> Result<Vec<Row>, PlatformError> {
        self.scheduler.wait_until_chosen(self.operator);
        self.scheduler.platform.list_rows(prefix, limit)
    }

    fn transact(&self, writes: &[RowWrite]) -> Result<(), PlatformError> {
        self.scheduler.wait_until_chosen(self.operator);
        self.scheduler.platform.transact(writes)
    }
}
