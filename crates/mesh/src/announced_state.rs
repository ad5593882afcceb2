use displaydoc::Display;

/// What a target says of itself.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum AnnouncedState {
    /// draining
    Draining,
    /// gone
    Gone,
    /// ready
    Ready,
}
