use crate::StoreEra;

/// Up to where the changes of a table are known.
///
/// Positions are ordered by era first: after the store came back from an older copy, it gives out the versions of the
/// lost transactions again.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct StorePosition {
    /// The era in which the version was given out.
    pub era: StoreEra,
    /// The number of the newest transaction whose changes are known.
    pub version: u64,
}
