use std::rc::Rc;

use crate::AnnouncedState;

/// What is known of one incarnation of a target.
///
/// Incarnations are ordered by `born_ms`, announcements of one incarnation by `sequence`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetRecord {
    /// The target's start in Unix milliseconds; 0 if it isn't known.
    pub born_ms: u64,
    /// The target's id.
    pub id: Rc<str>,
    /// The sequence number of the announcement that this record was made from.
    pub sequence: u64,
    /// The service that the target belongs to.
    pub service: Rc<str>,
    /// How many requests the target runs concurrently.
    pub slots: u32,
    /// The state that the target announced.
    pub state: AnnouncedState,
    /// The version of the target's software; empty if it isn't known.
    pub version: Rc<str>,
}

impl TargetRecord {
    /// The latest start that a process can have in Unix milliseconds: the end of the year 9999. A later one must be a
    /// mistake of its writer, and would make all true ones count as earlier.
    pub const MAX_START_MS: u64 = 253_402_300_799_999;

    /// Returns whether two records are of one incarnation of a target, as far as their start times are known.
    #[must_use]
    pub fn is_same_incarnation(&self, other: &Self) -> bool {
        let is_start_known = self.born_ms != 0 && other.born_ms != 0;
        self.id == other.id && (!is_start_known || self.born_ms == other.born_ms)
    }

    /// Returns whether requests may be sent to the target.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        self.state == AnnouncedState::Ready
    }
}
