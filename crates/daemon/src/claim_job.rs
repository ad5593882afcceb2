use medlarspool_calls::{ClaimHolder, ClaimWrite, ClaimWriteOutcome};
use tokio::sync::oneshot;

/// What a gate asks of the thread that keeps claims in the store.
pub(crate) enum ClaimJob {
    /// Read a claim row; the answer is dropped if it can't be read.
    Read {
        answer: oneshot::Sender<Option<ClaimHolder>>,
        key: String,
    },
    /// Write a claim with the next transaction.
    Write {
        answer: oneshot::Sender<ClaimWriteOutcome>,
        write: ClaimWrite,
    },
}
