use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// How a daemon stands in another one's view.
#[derive(
    Clone, Copy, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// alive
    Alive,
    /// dead
    Dead,
    /// leaving
    Leaving,
    /// left
    Left,
    /// suspect
    Suspect,
}

impl MemberState {
    /// Returns whether the daemon still takes part, so that it is probed and told news.
    #[must_use]
    pub fn is_living(self) -> bool {
        matches!(self, Self::Alive | Self::Leaving | Self::Suspect)
    }
}
