use displaydoc::Display;

use crate::OpenReason;

/// What the evidence says about a version.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum RolloutVerdict {
    /// bad
    Bad,
    /// good
    Good,
    /// open: {0}
    Open(OpenReason),
}
