use serde::{Deserialize, Serialize};

/// The state that a daemon announces for itself; within one process it only advances in the order
/// of the variants.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AnnouncedState {
    /// The daemon serves.
    Alive,
    /// The daemon takes no new work and finishes the calls in flight.
    Leaving,
    /// The daemon has stopped as planned.
    Left,
}
