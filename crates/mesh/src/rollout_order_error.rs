use displaydoc::Display;

/// Why an order of a rollout isn't followed.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum RolloutOrderError {
    /// the rollout to `{0}` is running
    AnotherRunning(String),
    /// the duration `{0}` isn't a finite number above zero
    Duration(f64),
    /// the order is older than the rollout to `{0}`
    Outdated(String),
    /// the service `{0}` is unknown
    Service(String),
    /// the version `{0}` is empty
    Version(String),
}

impl std::error::Error for RolloutOrderError {}
