use medlarspool_hop::RefusalReason;

use crate::answer::Answer;

/// How a request ended at the target.
pub(crate) enum RunEnd {
    Answered(Answer),
    /// It may have run, and there is no answer.
    Lost(RefusalReason),
    /// It did not run and never will.
    NotRun(RefusalReason),
}
