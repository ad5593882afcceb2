use std::time::Duration;

use medlarspool_mesh::TargetLoad;

use crate::run_outcome::RunOutcome;

/// What a gate says of a request in the end.
pub(crate) struct GateReply {
    pub(crate) outcome: RunOutcome,
    pub(crate) load: TargetLoad,
    /// How long the target took, if it answered.
    pub(crate) run_time: Option<Duration>,
}

impl GateReply {
    /// Copies a reply whose answer, if there is one, was read whole.
    pub(crate) fn copy(&self) -> Option<Self> {
        let outcome = match &self.outcome {
            RunOutcome::Answered(response) => RunOutcome::Answered(response.copy()?),
            RunOutcome::Lost(reason) => RunOutcome::Lost(*reason),
            RunOutcome::NotRun(reason) => RunOutcome::NotRun(*reason),
        };
        Some(Self {
            outcome,
            load: self.load,
            run_time: self.run_time,
        })
    }
}
