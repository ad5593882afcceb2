use std::time::Duration;

use medlarspool_types::Verdict;

use crate::RefusalReason;

/// The refusal of a request that was fenced first, so it did not run and never will.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why the gate refused the request; it also decides whether another upstream may take it.
    pub reason: RefusalReason,
    /// The delay after which the caller should retry.
    pub retry_after: Duration,
}

impl Refusal {
    /// The verdict of every refusal.
    pub const VERDICT: Verdict = Verdict::NotRun;
}
