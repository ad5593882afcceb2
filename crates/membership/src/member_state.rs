use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// The state of a daemon in the view of this one.
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
    /// Returns whether the daemon still takes part in the protocol, so that it is probed and
    /// gossiped to.
    #[must_use]
    pub fn is_living(self) -> bool {
        matches!(self, Self::Alive | Self::Leaving | Self::Suspect)
    }
}
