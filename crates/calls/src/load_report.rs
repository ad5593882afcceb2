use std::time::Duration;

/// A gate's load, which rides on each of its answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests that wait.
    pub queued: u32,
    /// The measured mean time of a run; zero before the first.
    pub run_time: Duration,
    /// Slots of the upstream.
    pub slots: u32,
    /// Slots that are taken.
    pub slots_in_use: u32,
}
