use displaydoc::Display;

/// The state that a target announces.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum AnnouncedState {
    /// draining
    Draining,
    /// gone
    Gone,
    /// ready
    Ready,
}
