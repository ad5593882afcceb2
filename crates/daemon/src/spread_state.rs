use medlarspool_spread::{Readiness, SpreadCounters};
use medlarspool_types::ConfigHead;

/// The last published state of the spreading core, for the other threads to read.
#[derive(Clone, Debug)]
pub(crate) struct SpreadState {
    /// The head that this daemon announces to peers.
    pub(crate) announced: ConfigHead,
    pub(crate) counters: SpreadCounters,
    pub(crate) readiness: Readiness,
}

impl Default for SpreadState {
    fn default() -> Self {
        Self {
            announced: ConfigHead::default(),
            counters: SpreadCounters::default(),
            readiness: Readiness::AwaitingHead,
        }
    }
}
