use medlarspool_calls::{ClaimWrite, ClaimWriteOutcome, StoredClaimRow};
use tokio::sync::oneshot;

/// A job of the [`crate::claim_worker::ClaimWorker`], which reads and writes claims in the store.
pub(crate) enum ClaimJob {
    /// Read a claim row; if it can't be read, the sender is dropped without an answer.
    Read {
        answer_sender: oneshot::Sender<Option<StoredClaimRow>>,
        key: String,
    },
    /// Write a claim with the next transaction.
    Write {
        answer_sender: oneshot::Sender<ClaimWriteOutcome>,
        write: ClaimWrite,
    },
}
