use serde::{Deserialize, Serialize};

/// The version of the configuration's lists, which is the number of accepted changes: the first accepted lists
/// are version 1, and 0 means none.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct ConfigVersion(pub u64);

impl ConfigVersion {
    /// The version before any lists were accepted.
    pub const NONE: Self = Self(0);

    /// Returns the version that the next accepted change gets.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl std::fmt::Display for ConfigVersion {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(formatter)
    }
}
