use displaydoc::Display;
use medlarspool_adapter::AdapterError;

/// Why a call to the store failed.
#[derive(Debug, Display)]
pub(crate) enum StoreError {
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
