use std::rc::Rc;

use crate::AnnouncedState;

/// What is known of one life of a target.
///
/// Lives are ordered by `born_ms`, what one life says by `sequence`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetRecord {
    /// The Unix millisecond of the target's start.
    pub born_ms: u64,
    /// The target's id.
    pub id: Rc<str>,
    /// The number of the announcement that this is taken from.
    pub sequence: u64,
    /// The service that the target belongs to.
    pub service: Rc<str>,
    /// How many requests the target runs at once.
    pub slots: u32,
    /// What the target says of itself.
    pub state: AnnouncedState,
}

impl TargetRecord {
    /// Returns whether requests may be handed to the target.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        self.state == AnnouncedState::Ready
    }
}
