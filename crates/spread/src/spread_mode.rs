use serde::{Deserialize, Serialize};

/// How the fleet learns that the store holds a newer version.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SpreadMode {
    /// Each daemon reads the head at a fixed interval and its lists from the object store.
    ///
    /// This is the baseline; its reads grow with the fleet.
    Poll,
    /// The fleet shares one fixed rate of reads, and what one daemon notices is pushed to the rest.
    #[default]
    SharedBudget,
}
