use crate::{ClaimRow, ClaimWrite, Fate, RefusalReason};

/// The next step towards a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimStep<A> {
    /// Ask the gate in this row what became of the attempt that holds the key, by
    /// [`crate::QuestionKind::Inquire`]; [`crate::ClaimPolicy::on_fate`] follows.
    AskHolder(ClaimRow),
    /// Answer the caller with the fate of the key's earlier attempt; this one must not run.
    Earlier(Fate<A>),
    /// Read the key's row; [`crate::ClaimPolicy::on_read`] follows.
    Read,
    /// Fence this attempt and refuse it.
    Refuse(RefusalReason),
    /// This attempt holds the key and may run.
    Run,
    /// The key's earlier attempt has not ended: ask its gate again after a short delay;
    /// [`crate::ClaimPolicy::on_fate`] follows.
    Wait(ClaimRow),
    /// Submit this write; [`crate::ClaimPolicy::on_write`] follows.
    Write(ClaimWrite),
}
