use std::time::Duration;

use medlarspool_types::ConfigHead;

use crate::{DeltaUpdate, Refusal};

/// What became of lists that the core asked for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FetchOutcome {
    /// They are in use.
    Applied {
        /// The version in use.
        head: ConfigHead,
        /// The updates from the version in use before, if the edge knows them.
        updates: Vec<DeltaUpdate>,
    },
    /// The giver has no transfer to spare.
    Busy {
        /// When to come back at the latest.
        retry_after: Duration,
    },
    /// The source didn't answer or doesn't have them.
    Failed,
    /// They came and were not taken.
    Refused(Refusal),
}
