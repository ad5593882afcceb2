use std::{cell::Cell, net::UdpSocket};

use medlarspool_mesh::{MessageLimits, SiteSettings};
use tokio::sync::Notify;

use crate::{
    connection_pool::ConnectionPool, core::Core, metrics::Metrics, run_table::RunTable,
    stop_phase::StopPhase, store_client::StoreClient,
};

/// What the tasks of the daemon share.
pub(crate) struct App {
    /// Wakes those who wait for the first configuration.
    pub(crate) config_arrived: Notify,
    /// Wakes the reading of the configuration when a peer has a newer one.
    pub(crate) config_behind: Notify,
    pub(crate) core: Core,
    /// The moments of work that a planned stop waits for.
    pub(crate) in_flight: Cell<usize>,
    pub(crate) limits: Cell<MessageLimits>,
    pub(crate) metrics: Metrics,
    pub(crate) peer_pool: ConnectionPool,
    /// Wakes the requests that wait for a target to be known.
    pub(crate) targets_changed: Notify,
    pub(crate) report_socket: UdpSocket,
    /// Wakes the writing of this daemon's row.
    pub(crate) row_changed: Notify,
    /// Wakes those who wait for the first reading of the daemons' rows.
    pub(crate) rows_read: Notify,
    pub(crate) runs: RunTable,
    /// The settings as at the start; what is followed later stands in the node's.
    pub(crate) settings: SiteSettings,
    pub(crate) stop_phase: Cell<StopPhase>,
    pub(crate) store: StoreClient,
    /// Wakes the following of the store, which relays made needless.
    pub(crate) store_needed: Notify,
    pub(crate) target_pool: ConnectionPool,
    /// Whether the daemons' rows were read since the start.
    pub(crate) rows_were_read: Cell<bool>,
}

impl App {
    /// Counts a piece of work until the guard is dropped.
    pub(crate) fn track_work(self: &std::rc::Rc<Self>) -> WorkGuard {
        self.in_flight.set(self.in_flight.get() + 1);
        WorkGuard(self.clone())
    }
}

/// Counts a piece of work that a planned stop waits for.
pub(crate) struct WorkGuard(std::rc::Rc<App>);

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}
