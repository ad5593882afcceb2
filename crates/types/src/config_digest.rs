use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use crate::IdError;

/// The 128-bit XXH3 digest of a configuration's canonical encoding; it detects damage, not forgery.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct ConfigDigest(pub u128);

impl ConfigDigest {
    /// Returns the digest of an encoding.
    #[must_use]
    pub fn of(encoded: &[u8]) -> Self {
        Self(xxh3_128(encoded))
    }
}

impl std::fmt::Display for ConfigDigest {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

impl From<ConfigDigest> for String {
    fn from(digest: ConfigDigest) -> Self {
        digest.to_string()
    }
}

impl std::str::FromStr for ConfigDigest {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u128::from_str_radix(text, 16)
            .map(Self)
            .map_err(|_| IdError::NotANumber(text.into()))
    }
}

impl TryFrom<String> for ConfigDigest {
    type Error = IdError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}
