use crate::QuotaPartition;

/// An entry's question for credits of an account.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuotaQuestion {
    /// The number by which the answer is matched.
    pub nonce: u64,
    /// The partition whose holder is asked.
    pub partition: QuotaPartition,
    /// How many credits the entry has a use for.
    pub wanted: u32,
}
