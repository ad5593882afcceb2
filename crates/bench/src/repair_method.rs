/// A method to bring lists that are outdated or damaged to the newest version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RepairMethod {
    /// Sends the deltas of the missing changes.
    DeltaLog,
    /// Sends the pages whose digests differ, found by comparing the digest of all pages, then those of groups of
    /// pages, then those of pages.
    Pages,
    /// Sends the whole lists.
    Whole,
}

impl RepairMethod {
    /// All methods, in the order in which the bench prints their figures.
    pub const ALL: [Self; 3] = [Self::DeltaLog, Self::Pages, Self::Whole];

    /// Returns the prefix of the printed figures' names.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::DeltaLog => "delta_log",
            Self::Pages => "pages",
            Self::Whole => "whole",
        }
    }
}
