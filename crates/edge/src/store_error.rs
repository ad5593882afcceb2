use displaydoc::Display;
use medlarspool_adapter::{AdapterError, StoreRow};

/// Why a call to the store failed.
#[derive(Debug, Display)]
pub(crate) enum StoreError {
    /// the store's answer has more than {0} bytes
    AnswerTooLong(usize),
    // The rows are those whose versions the write expected, as they are now.
    /// a row doesn't have the expected version
    Conflict(Vec<StoreRow>),
    /// the answer is of an earlier era of the store
    EarlierEra,
    /// the store's answer can't be read: {0}
    InvalidResponse(AdapterError),
    /// the store has dropped the history asked for
    HistoryDropped,
    /// no answer of the store
    NoAnswer,
    /// the store answered {0}
    Status(u16),
}
