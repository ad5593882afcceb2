use std::time::Duration;

use crate::RolloutVerdict;

/// What the next step of a rollout depends on.
#[derive(Clone, Copy, Debug)]
pub struct RolloutProgress {
    /// The order's age.
    pub age: Duration,
    /// Whether every alive daemon reports that it applies the whole share.
    pub all_apply_whole_share: bool,
    /// The runs of the new version that were reported.
    pub canary_runs: u64,
    /// The slots of the usable targets of the new version.
    pub canary_slots: u32,
    /// The age of the evidence.
    pub evidence_age: Duration,
    /// The requests that the service's targets run or have queued.
    pub load_slots: u32,
    /// The requests to the service that are run in a second.
    pub requests_per_s: f64,
    /// How long ago the share was raised; the order's age if it wasn't.
    pub share_age: Duration,
    /// The share that is in force.
    pub share_per_mille: u16,
    /// What the evidence says.
    pub verdict: RolloutVerdict,
}
