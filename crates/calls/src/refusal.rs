use std::time::Duration;

use medlarspool_types::Verdict;

use crate::RefusalReason;

/// A request that was fenced before it was refused, so it did not run and never will.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When the caller may usefully come back.
    pub retry_after: Duration,
}

impl Refusal {
    /// The verdict of every refusal.
    pub const VERDICT: Verdict = Verdict::NotRun;
}
