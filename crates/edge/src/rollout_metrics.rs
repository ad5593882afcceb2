use medlarspool_mesh::{RolloutState, RolloutStatus};
use prometheus::{IntCounterVec, IntGaugeVec, Result};

use crate::metric_registry::MetricRegistry;

/// The metrics of staged rollouts. Without an order they have no values, so that nothing is served where rollouts are
/// off.
pub(crate) struct RolloutMetrics {
    pub(crate) canary_requests: IntCounterVec,
    orders: IntGaugeVec,
    share: IntGaugeVec,
}

impl RolloutMetrics {
    /// Registers the metrics.
    pub(crate) fn new(registry: &MetricRegistry) -> Result<Self> {
        Ok(Self {
            canary_requests: registry.counter_vec(
                "medlarspool_canary_requests_total",
                "Requests sent to targets whose version is being rolled out, by service",
                "service",
            )?,
            orders: registry.gauge_vec(
                "medlarspool_rollouts",
                "Services by the state of their latest order: completed, rolled back, or running",
                "state",
            )?,
            share: registry.gauge_vec(
                "medlarspool_rollout_share_per_mille",
                "Share of a service's requests that its latest order gives to the new version, in thousandths",
                "service",
            )?,
        })
    }

    /// Sets the metrics that are computed when they are read.
    pub(crate) fn update(&self, statuses: &[RolloutStatus]) {
        for state in [
            RolloutState::Completed,
            RolloutState::RolledBack,
            RolloutState::Running,
        ] {
            let of_state = statuses.iter().filter(|status| status.state == state);
            let count = i64::try_from(of_state.count()).unwrap_or(i64::MAX);
            let label = state.to_string();
            self.orders.with_label_values(&[&label]).set(count);
        }
        for status in statuses {
            let share = self.share.with_label_values(&[&*status.order.service]);
            share.set(status.share_per_mille.into());
        }
    }
}
