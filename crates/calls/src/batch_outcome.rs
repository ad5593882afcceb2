/// How a transaction of claim writes ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BatchOutcome {
    /// Nothing was written, because this row did not meet the condition of its write.
    Conflict {
        /// The row's key.
        key: String,
    },
    /// The store certainly applied none of the writes.
    Down,
    /// The store may have applied the writes, or may still apply them.
    Unknown,
    /// The store applied all writes.
    Written,
}
