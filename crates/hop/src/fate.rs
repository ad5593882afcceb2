use displaydoc::Display;

/// What a gate knows of a request whose hop was lost.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Fate {
    /// never-seen
    NeverSeen,
    /// unknown
    Unknown,
}
