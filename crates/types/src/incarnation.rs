use serde::{Deserialize, Serialize};

/// Orders the lives of a process on one instance, so that an old life's announcements never overrule a new one's.
///
/// A process takes its start in microseconds since the Unix epoch and raises it to refute a suspicion.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl Incarnation {
    /// Returns the smallest incarnation that overrules this one.
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
