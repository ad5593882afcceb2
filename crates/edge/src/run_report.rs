use std::time::Duration;

use medlarspool_mesh::CalledService;

/// What a gate reports of a run that its target answered.
#[derive(Clone, Debug)]
pub(crate) struct RunReport {
    /// The services that a run of the request's route calls, as far as the gate has learnt.
    pub(crate) calls: Vec<CalledService>,
    /// How long the run took, if the target responded with a status below 500.
    pub(crate) run_time: Option<Duration>,
}
