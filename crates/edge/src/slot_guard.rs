use std::{rc::Rc, time::Duration};

use crate::{app::App, release::Release};

/// A slot of the target; released on drop.
pub(crate) struct SlotGuard {
    app: Option<Rc<App>>,
    expected_run_time: Duration,
    run_number: u64,
}

impl SlotGuard {
    pub(crate) const fn new(app: Rc<App>, run_number: u64, expected_run_time: Duration) -> Self {
        Self {
            app: Some(app),
            expected_run_time,
            run_number,
        }
    }

    /// Returns how long the run is expected to take.
    pub(crate) const fn expected_run_time(&self) -> Duration {
        self.expected_run_time
    }

    /// Returns the number of the run.
    pub(crate) const fn run_number(&self) -> u64 {
        self.run_number
    }

    /// Returns the number of the run and its expected time without releasing the slot; the caller has to.
    pub(crate) fn disarm(mut self) -> (u64, Duration) {
        self.app = None;
        (self.run_number, self.expected_run_time)
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if let Some(app) = &self.app {
            app.core.release(Release::Slot {
                expected_run_time: self.expected_run_time,
                run_number: self.run_number,
            });
        }
    }
}
