use serde::{Deserialize, Serialize};

/// What a daemon is accused of.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AccusationKind {
    /// It stayed silent for the whole of a suspicion.
    Dead,
    /// It did not answer probes.
    Suspect,
}
