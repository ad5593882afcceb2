use displaydoc::Display;

/// Why lists or updates were not taken into use.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Refusal {
    /// the delta is for another base
    BaseMismatch,
    /// another digest is held for the same version
    Conflict,
    /// the lists don't match their digest
    Damaged,
    /// the lists fail their checks
    Invalid,
    /// a newer version is already in use
    Stale,
}

impl Refusal {
    /// Every reason, in the order of [`crate::SpreadCounters::refused`].
    pub const ALL: [Self; 5] = [
        Self::BaseMismatch,
        Self::Conflict,
        Self::Damaged,
        Self::Invalid,
        Self::Stale,
    ];
}
