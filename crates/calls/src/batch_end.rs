use medlarspool_types::CallId;

/// How a transaction of claims ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum BatchEnd {
    /// Nothing was written, because the conditions of these tries' writes did not hold.
    Conflict(Vec<CallId>),
    /// The store certainly did not take it.
    Down,
    /// The store may have taken it.
    Unknown,
    /// All were written.
    Written,
}
