use medlarspool_hop::RefusalReason;

use crate::response::Response;

/// How a request ended at the target.
pub(crate) enum RunOutcome {
    Answered(Response),
    /// It may have run, and there is no answer.
    Lost(RefusalReason),
    /// It did not run and never will.
    NotRun(RefusalReason),
}
