use medlarspool_types::Verdict;

/// What a gate knows of a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Fate<A> {
    /// It ran, but the gate no longer has its answer.
    AnswerGone,
    /// It was started and how it ended is unknown, or the gate can't know whether it was started.
    MayHaveRun,
    /// The gate had no record of it when it was first asked to settle it; [`crate::FateReply::settle`]
    /// says whether that means "not run".
    NeverSeen,
    /// It did not run and never will.
    NotRun,
    /// It ran and this is its answer.
    Ran(A),
    /// It is queued or running; ask again later.
    Underway,
}

impl<A> Fate<A> {
    /// Returns the verdict to give to the caller if nothing more becomes known.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        match self {
            Self::AnswerGone | Self::Ran(_) => Verdict::Ran,
            Self::MayHaveRun | Self::NeverSeen | Self::Underway => Verdict::MayHaveRun,
            Self::NotRun => Verdict::NotRun,
        }
    }
}
