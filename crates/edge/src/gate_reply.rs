use std::time::Instant;

use medlarspool_hop::RefusalReason;
use medlarspool_mesh::TargetLoad;

use crate::{run_outcome::RunOutcome, run_report::RunReport};

/// A gate's final reply to a request.
pub(crate) struct GateReply {
    pub(crate) outcome: RunOutcome,
    /// The load of the gate's target; none if this daemon got no reply of the gate and made this one up.
    pub(crate) load: Option<TargetLoad>,
    /// What the gate reports of the run; none unless the target responded.
    pub(crate) run: Option<Box<RunReport>>,
}

impl GateReply {
    /// Makes up the reply of a gate from which none was received.
    pub(crate) const fn without_gate(outcome: RunOutcome) -> Self {
        Self {
            outcome,
            load: None,
            run: None,
        }
    }

    /// Returns whether the gate told what became of the request.
    pub(crate) const fn has_outcome(&self) -> bool {
        !matches!(self.outcome, RunOutcome::Lost(RefusalReason::HopLost))
    }

    /// Gives back what a streamed body holds besides its connection, such as the slot of the run.
    pub(crate) fn release_guards(&mut self) {
        if let RunOutcome::Answered(response) = &mut self.outcome
            && let Some(streamed_body) = &mut response.streamed_body
        {
            streamed_body.release_guards();
        }
    }

    /// Returns whether the reply has a streamed body whose deadline has passed.
    pub(crate) fn is_past_deadline(&self, now: Instant) -> bool {
        let RunOutcome::Answered(response) = &self.outcome else {
            return false;
        };
        let streamed_body = response.streamed_body.as_ref();
        let deadline = streamed_body.and_then(|streamed_body| streamed_body.deadline);
        deadline.is_some_and(|deadline| deadline <= now)
    }

    /// Copies the reply; returns `None` if it has a response whose body is still being read.
    pub(crate) fn copy(&self) -> Option<Self> {
        let outcome = match &self.outcome {
            RunOutcome::Answered(response) => RunOutcome::Answered(response.copy()?),
            RunOutcome::Lost(reason) => RunOutcome::Lost(*reason),
            RunOutcome::NotRun(reason) => RunOutcome::NotRun(*reason),
        };
        Some(Self {
            outcome,
            load: self.load,
            run: self.run.clone(),
        })
    }
}
