use std::time::Duration;

/// The users' bounds on staged rollouts. Rollouts are off in deployments whose settings don't have them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RolloutSettings {
    /// The share of a service's requests that may reach a bad version.
    pub expose_share: f64,
    /// The requests beyond the share that may reach a bad version, for the whole fleet.
    pub expose_slack: f64,
    /// How long requests may be sent to a bad version after its 50th bad answer.
    pub rollback: Duration,
}
