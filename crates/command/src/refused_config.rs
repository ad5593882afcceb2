use serde::{Deserialize, Serialize};

/// A version that the queried daemon can't put in force.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RefusedConfig {
    /// What isn't valid.
    pub reason: String,
    /// Where it came from: `store` or `peer`.
    pub source: String,
    /// Its version; none if not even that can be read.
    pub version: Option<u64>,
}
