use medlarspool_types::Verdict;

/// A [`Verdict`] on the wire; a missing value is decoded as [`Verdict::MayHaveRun`], which promises
/// nothing.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, prost::Enumeration)]
#[repr(i32)]
pub enum WireVerdict {
    /// The request may have run.
    MayHaveRun = 0,
    /// The request did not run and never will.
    NotRun = 1,
    /// The request ran and the answer is complete.
    Ran = 2,
}

impl From<Verdict> for WireVerdict {
    fn from(verdict: Verdict) -> Self {
        match verdict {
            Verdict::MayHaveRun => Self::MayHaveRun,
            Verdict::NotRun => Self::NotRun,
            Verdict::Ran => Self::Ran,
        }
    }
}

impl From<WireVerdict> for Verdict {
    fn from(verdict: WireVerdict) -> Self {
        match verdict {
            WireVerdict::MayHaveRun => Self::MayHaveRun,
            WireVerdict::NotRun => Self::NotRun,
            WireVerdict::Ran => Self::Ran,
        }
    }
}
