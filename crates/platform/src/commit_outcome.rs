use medlarspool_types::ConfigHead;

/// What became of a change that was not refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// The change is accepted as a version.
    Accepted {
        /// The version that the change made.
        head: ConfigHead,
        /// Whether the version also holds others' edits that the operator's lists lacked.
        rebased: bool,
    },
    /// The lists hold already what was asked for; no version was made.
    Unchanged {
        /// The version that holds it.
        head: ConfigHead,
    },
}
