use serde::{Deserialize, Serialize};

/// What a daemon says of itself.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum AnnouncedState {
    /// It serves.
    Alive,
    /// It takes no new work and finishes what is in flight.
    Leaving,
    /// It has stopped as planned.
    Left,
}
