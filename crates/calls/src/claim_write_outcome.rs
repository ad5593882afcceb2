/// How a single claim write ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimWriteOutcome {
    /// The row did not meet the write's condition.
    Conflict,
    /// The store did not apply it.
    Down,
    /// The store may have applied it.
    Unknown,
    /// The store applied it.
    Written,
}
