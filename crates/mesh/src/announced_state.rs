use displaydoc::Display;

/// The state that a target announces; only a ready target is chosen for requests.
#[derive(Clone, Copy, Debug, Display, Eq, Hash, PartialEq)]
pub enum AnnouncedState {
    /// draining
    Draining,
    /// gone
    Gone,
    /// ready
    Ready,
}
