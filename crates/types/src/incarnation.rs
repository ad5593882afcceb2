use serde::{Deserialize, Serialize};

/// Orders the incarnations of a process on one instance, so that announcements of an earlier one never override
/// those of a later one.
///
/// A process uses its start time in microseconds since the Unix epoch and increases it to refute a suspicion.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Returns the smallest incarnation that overrides this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl std::fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(formatter)
    }
}
