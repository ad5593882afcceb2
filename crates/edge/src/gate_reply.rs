use std::time::Duration;

use medlarspool_mesh::TargetLoad;

use crate::run_end::RunEnd;

/// What a gate says of a request in the end.
pub(crate) struct GateReply {
    pub(crate) end: RunEnd,
    pub(crate) load: TargetLoad,
    /// How long the target took, if it answered.
    pub(crate) run: Option<Duration>,
}
