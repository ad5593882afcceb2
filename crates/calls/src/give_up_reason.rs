use displaydoc::Display;

/// Why a failed request is not retried.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum GiveUpReason {
    /// the retry budget is spent
    BudgetSpent,
    /// no further attempt can be answered before the deadline
    DeadlineTooClose,
    /// the refusal holds at every upstream
    Final,
    /// it may have run and a second run may do harm
    MayHaveRun,
    /// it ran
    Ran,
    /// the request has used all its attempts
    TooManyAttempts,
}
