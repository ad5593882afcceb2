use std::time::Duration;

use medlarspool_types::ConfigHead;

use crate::{DeltaUpdate, Refusal};

/// The outcome of a fetch or of applying updates.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum FetchOutcome {
    /// The lists are in use.
    Applied {
        /// The head in use now.
        head: ConfigHead,
        /// The updates from the version in use before, or none if the edge doesn't know them.
        updates: Vec<DeltaUpdate>,
    },
    /// The peer refused the transfer for now, because it serves its most transfers already or isn't
    /// ready.
    Busy {
        /// The time within which to try again.
        retry_after: Duration,
    },
    /// The source didn't answer or doesn't have the lists.
    Failed,
    /// The lists arrived but were not taken into use.
    Refused(Refusal),
}
