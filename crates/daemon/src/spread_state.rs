use medlarspool_spread::{Readiness, SpreadCounters};
use medlarspool_types::ConfigHead;

/// What the spreading of changes last said of itself, for the other threads to read.
#[derive(Clone, Debug)]
pub(crate) struct SpreadState {
    /// The head that this daemon shows to peers.
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
