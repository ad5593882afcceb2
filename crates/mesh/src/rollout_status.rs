use std::time::Duration;

use crate::{RolloutOrder, RolloutState};

/// What daemons tell each other about an order.
///
/// Statuses are merged by [`Rollouts::merge`](crate::Rollouts::merge) with the same result in any order.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutStatus {
    /// How long ago the order was first known to any daemon.
    pub age: Duration,
    /// Whether the state was read in, or written to, the status row. The row decides between two verdicts, and
    /// daemons that don't call the store learn of it by this field.
    pub is_stored: bool,
    /// The order.
    pub order: RolloutOrder,
    /// The share of the service's requests that go to the new version while the rollout is running, in 1000ths.
    pub share_per_mille: u16,
    /// How far the rollout has come.
    pub state: RolloutState,
}
