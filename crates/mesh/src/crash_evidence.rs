/// What a crash says about a request that ran at the target. A greater value replaces a smaller one that is known of the
/// same crash.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum CrashEvidence {
    /// The request ran there, and no earlier crash was held against it when it began.
    Ran,
    /// The request was suspected when it began, and others that ran there were, too.
    Shared,
    /// The request was suspected when it began, and no other one that ran there was.
    Sole,
    /// A run of the request was answered after the crash, which no run of a request that crashes targets is.
    Cleared,
}

impl CrashEvidence {
    /// Returns how much the crash counts towards the refusal of the request.
    pub(crate) const fn weight(self) -> u32 {
        match self {
            Self::Cleared | Self::Ran => 0,
            Self::Shared => 1,
            Self::Sole => 2,
        }
    }
}
