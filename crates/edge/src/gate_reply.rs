use std::time::Duration;

use medlarspool_mesh::TargetLoad;

use crate::run_outcome::RunOutcome;

/// What a gate says of a request in the end.
pub(crate) struct GateReply {
    pub(crate) end: RunOutcome,
    pub(crate) load: TargetLoad,
    /// How long the target took, if it answered.
    pub(crate) run: Option<Duration>,
}

impl GateReply {
    /// Copies a reply whose answer, if there is one, was read whole.
    pub(crate) fn copy(&self) -> Option<Self> {
        let end = match &self.end {
            RunOutcome::Answered(answer) => RunOutcome::Answered(answer.copy()?),
            RunOutcome::Lost(reason) => RunOutcome::Lost(*reason),
            RunOutcome::NotRun(reason) => RunOutcome::NotRun(*reason),
        };
        Some(Self {
            end,
            load: self.load,
            run: self.run,
        })
    }
}
