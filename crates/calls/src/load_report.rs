use std::time::Duration;

/// A gate's load, sent with each of its answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// The mean run time by the gate's measurements, decayed since the last run; zero before the first.
    pub mean_run_time: Duration,
    /// How many requests wait.
    pub queued: u32,
    /// How many slots the upstream has.
    pub slots: u32,
    /// How many slots are in use.
    pub slots_in_use: u32,
}
