/// How one claim's write ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimWriteOutcome {
    /// The row is not as the write's condition says.
    Conflict,
    /// The store did not take it.
    Down,
    /// It may have taken effect.
    Unknown,
    /// It took effect.
    Written,
}
