use displaydoc::Display;

/// A timer of the node.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub(crate) enum NodeTimer {
    // The target's limit allows the next queued request.
    /// next-arrival
    NextArrival,
    // A report to all daemons that a change scheduled.
    /// scheduled-report
    ScheduledReport,
    // The periodic reports and the cleanup.
    /// tick
    Tick,
}
