use crate::QuotaLeaseAction;

/// A call to the store that has to be made now, and the number that its result is reported under.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct QuotaLeaseCall {
    /// What is to be done.
    pub action: QuotaLeaseAction,
    /// The number of the call.
    pub number: u64,
}
