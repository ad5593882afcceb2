/// How a single claim write ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimWriteOutcome {
    /// The row did not meet the write's condition.
    Conflict,
    /// The store certainly did not apply the write.
    Down,
    /// The store may have applied the write, or may still apply it.
    Unknown,
    /// The store applied the write.
    Written,
}
