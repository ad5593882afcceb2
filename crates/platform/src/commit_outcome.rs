use medlarspool_types::ConfigHead;

/// The outcome of a change that was not refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommitOutcome {
    /// The change was accepted as a version.
    Accepted {
        /// The version that the change created.
        head: ConfigHead,
        /// Whether the version also contains other operators' edits that are not in the operator's lists.
        rebased: bool,
    },
    /// The newest lists already contain all edits of the change; no version was created.
    Unchanged {
        /// The newest version, which contains the change.
        head: ConfigHead,
    },
}
