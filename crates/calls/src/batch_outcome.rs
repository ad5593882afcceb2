/// How a transaction of claims ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BatchOutcome {
    /// Nothing was written, because the condition on this row did not hold.
    Conflict {
        /// The row's key.
        key: String,
    },
    /// The store certainly did not take it.
    Down,
    /// The store may have taken it.
    Unknown,
    /// All were written.
    Written,
}
