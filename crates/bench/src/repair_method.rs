/// A way to bring lists that are behind or damaged back to the newest version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RepairMethod {
    /// The deltas of the changes that are missing.
    DeltaLog,
    /// The pages whose digests differ, found by a digest, then groups of pages, then pages.
    Pages,
    /// The whole lists.
    Whole,
}

impl RepairMethod {
    /// Every way.
    pub const ALL: [Self; 3] = [Self::DeltaLog, Self::Pages, Self::Whole];

    /// Returns the name that figures are printed by.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::DeltaLog => "delta_log",
            Self::Pages => "pages",
            Self::Whole => "whole",
        }
    }
}
