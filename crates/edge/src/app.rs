use std::{cell::Cell, net::UdpSocket, rc::Rc};

use medlarspool_mesh::{MessageLimits, SiteSettings};
use tokio::sync::Notify;

use crate::{
    connection_pool::ConnectionPool, core::Core, metrics::Metrics,
    response_buffers::ResponseBuffers, run_table::RunTable, stop_phase::StopPhase,
    stop_times::StopTimes, store_client::StoreClient,
};

/// The state that all tasks of the daemon share.
pub(crate) struct App {
    /// Notified when a configuration comes into force.
    pub(crate) config_arrived: Notify,
    /// Notified when a peer reports a newer configuration.
    pub(crate) config_behind: Notify,
    /// Notified when this daemon's confirmation is so old that it has to call the store itself.
    pub(crate) confirmation_late: Notify,
    pub(crate) core: Core,
    /// Notified when a peer has had a newer configuration for longer than this daemon's feed from the store needs.
    pub(crate) feed_overtaken: Notify,
    /// Notified when credits of any account arrive, for the requests that wait for one.
    pub(crate) credits_arrived: Notify,
    /// How many requests and runs a planned stop has to wait for; see [`App::track_work`].
    pub(crate) in_flight: Cell<usize>,
    /// Notified when the leases on quota partitions may need a call to the store sooner than planned.
    pub(crate) leases_changed: Notify,
    /// Notified when a planned stop has given back all quota partitions.
    pub(crate) leases_released: Notify,
    /// Notified when the target has not confirmed its limit by a response for a while.
    pub(crate) limit_unconfirmed: Notify,
    pub(crate) limits: Cell<MessageLimits>,
    pub(crate) metrics: Metrics,
    pub(crate) peer_pool: ConnectionPool,
    /// Notified when a target may have become usable, for the requests that wait for one.
    pub(crate) targets_changed: Notify,
    pub(crate) report_socket: UdpSocket,
    pub(crate) response_buffers: Rc<ResponseBuffers>,
    /// Notified when this daemon's row in the store has to be written.
    pub(crate) row_changed: Notify,
    /// Whether this daemon's row was written since the start.
    pub(crate) row_was_written: Cell<bool>,
    /// Notified when the daemons' rows were read from the store.
    pub(crate) rows_read: Notify,
    pub(crate) runs: RunTable,
    /// The settings as at the start. Reloaded settings are applied to the node's copy.
    pub(crate) settings: SiteSettings,
    /// Notified when this daemon, as the decider on rollouts, has to write a status row.
    pub(crate) status_write_due: Notify,
    pub(crate) stop_phase: Cell<StopPhase>,
    /// The times of the planned stop, once it has begun.
    pub(crate) stop_times: Cell<Option<StopTimes>>,
    pub(crate) store: StoreClient,
    /// Notified when this daemon has to read the configuration from the store itself, since no relay provides it.
    pub(crate) store_needed: Notify,
    pub(crate) target_pool: ConnectionPool,
    /// Notified when a request that is suspected of crashing targets has ended, for those that wait for it.
    pub(crate) suspects_changed: Notify,
    /// Whether the daemons' rows were read from the store since the start.
    pub(crate) rows_were_read: Cell<bool>,
}

impl App {
    /// Returns the buffers for responses that are read ahead of their readers, where this is enabled.
    pub(crate) fn active_buffers(&self) -> Option<&Rc<ResponseBuffers>> {
        self.response_buffers
            .is_active()
            .then_some(&self.response_buffers)
    }

    /// Counts a request or a run as in flight until the guard is dropped.
    pub(crate) fn track_work(self: &std::rc::Rc<Self>) -> WorkGuard {
        self.in_flight.set(self.in_flight.get() + 1);
        WorkGuard(self.clone())
    }
}

/// Keeps a request or a run counted, so that a planned stop waits for it.
pub(crate) struct WorkGuard(std::rc::Rc<App>);

impl std::fmt::Debug for WorkGuard {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_tuple("WorkGuard").finish()
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}
