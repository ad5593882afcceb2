use serde::{Deserialize, Serialize};

/// What an accusation reports.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AccusationKind {
    /// The member did not refute a suspicion in time.
    Dead,
    /// The member did not answer probes.
    Suspect,
}
