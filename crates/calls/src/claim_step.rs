use crate::{ClaimRow, ClaimWrite, Fate, RefusalReason};

/// What to do next on the way to a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimStep<A> {
    /// Ask the gate in this row what became of its try, by
    /// [`crate::QuestionKind::Inquire`]; [`crate::ClaimPolicy::on_fate`] follows.
    AskHolder(ClaimRow),
    /// Answer the caller with what the key's earlier try came to; this one must not run.
    Earlier(Fate<A>),
    /// Read the key's row; [`crate::ClaimPolicy::on_read`] follows.
    Read,
    /// Fence this try and refuse it.
    Refuse(RefusalReason),
    /// This try holds the key and may run.
    Run,
    /// The key's earlier try is underway: ask its gate again a little later.
    Wait(ClaimRow),
    /// Submit this write; [`crate::ClaimPolicy::on_write`] follows.
    Write(ClaimWrite),
}
