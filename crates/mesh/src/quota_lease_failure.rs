/// Why a call to the store failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuotaLeaseFailure {
    /// The store refused the call and did nothing.
    NotPerformed,
    /// A row has another version than the expected one, or the call may have been performed or may be later.
    Unknown,
}
