use medlarspool_types::CallId;

use crate::RunOutcome;

/// One of the upstream's slots, held by the worker that runs a call.
///
/// Whatever becomes of the worker, the slot goes back: dropped without an end, the call counts as
/// lost and may have run.
pub struct Slot<A> {
    call: CallId,
    release: Option<Release<A>>,
}

type Release<A> = Box<dyn FnOnce(CallId, RunOutcome<A>) + Send>;

impl<A> Slot<A> {
    /// Holds the slot of `call`; `release` tells the gate how the run ended.
    #[must_use]
    pub fn new(call: CallId, release: impl FnOnce(CallId, RunOutcome<A>) + Send + 'static) -> Self {
        Self {
            call,
            release: Some(Box::new(release)),
        }
    }

    /// Gives the slot back with the end of the run.
    pub fn finish(mut self, end: RunOutcome<A>) {
        self.give_back(end);
    }

    fn give_back(&mut self, end: RunOutcome<A>) {
        if let Some(release) = self.release.take() {
            release(self.call, end);
        }
    }
}

impl<A> Drop for Slot<A> {
    fn drop(&mut self) {
        self.give_back(RunOutcome::Lost);
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
