use medlarspool_types::CallId;

use crate::RunOutcome;

/// One of the upstream's slots, held by the worker that runs a call.
///
/// The slot is released even if the worker fails: if it is dropped without an outcome, the outcome is
/// [`RunOutcome::Lost`], so the call may have run.
pub struct Slot<A> {
    call: CallId,
    release: Option<Release<A>>,
}

type Release<A> = Box<dyn FnOnce(CallId, RunOutcome<A>) + Send>;

impl<A> Slot<A> {
    /// Holds the slot of `call`; `release` is called once to report to the gate how the run ended.
    #[must_use]
    pub fn new(call: CallId, release: impl FnOnce(CallId, RunOutcome<A>) + Send + 'static) -> Self {
        Self {
            call,
            release: Some(Box::new(release)),
        }
    }

    /// Releases the slot and reports the outcome of the run.
    pub fn finish(mut self, outcome: RunOutcome<A>) {
        self.release_slot(outcome);
    }

    fn release_slot(&mut self, outcome: RunOutcome<A>) {
        if let Some(release) = self.release.take() {
            release(self.call, outcome);
        }
    }
}

impl<A> Drop for Slot<A> {
    fn drop(&mut self) {
        self.release_slot(RunOutcome::Lost);
    }
}

impl<A> std::fmt::Debug for Slot<A> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Slot")
            .field("call", &self.call)
            .finish_non_exhaustive()
    }
}
