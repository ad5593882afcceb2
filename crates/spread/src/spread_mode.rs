use serde::{Deserialize, Serialize};

/// How the fleet learns that the store holds a newer version.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SpreadMode {
    /// Each daemon reads the head at about a fixed interval and its lists from the object store.
    ///
    /// This is the baseline for comparisons; its reads of the store grow with the fleet.
    Poll,
    /// The fleet shares one rate of reads of the head, and a daemon that reads a new version pushes it
    /// to its peers.
    #[default]
    SharedBudget,
}
