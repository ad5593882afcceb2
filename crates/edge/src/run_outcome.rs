use medlarspool_hop::RefusalReason;

use crate::response::Response;

/// The outcome of a request at the target.
pub(crate) enum RunOutcome {
    /// The target responded, with whatever status.
    Answered(Response),
    /// The request may have run, but there is no response.
    Lost(RefusalReason),
    /// The request did not run and never will.
    NotRun(RefusalReason),
}
