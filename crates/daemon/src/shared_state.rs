use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
    mpsc::Sender,
};

use arc_swap::ArcSwap;
use medlarspool_config::Snapshot;
use medlarspool_proto::FleetKey;
use medlarspool_spread::SnapshotHolder;
use medlarspool_types::{Clock, ConfigHead, Incarnation};

use crate::{
    Settings, control_message::ControlMessage, directory::Directory, local_upstream::LocalUpstream,
    metrics::Metrics, spread_state::SpreadState,
};

/// The state that the daemon's servers, its workers and its control thread share.
pub(crate) struct SharedState {
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) control: Sender<ControlMessage>,
    pub(crate) directory: ArcSwap<Directory>,
    pub(crate) draining: AtomicBool,
    pub(crate) incarnation: Incarnation,
    pub(crate) key: FleetKey,
    pub(crate) local_upstream: LocalUpstream,
    pub(crate) metrics: Metrics,
    pub(crate) settings: Settings,
    pub(crate) snapshot: SnapshotHolder<Snapshot>,
    pub(crate) spread: ArcSwap<SpreadState>,
    pub(crate) stopped: AtomicBool,
}

impl SharedState {
    /// Returns the head of the configuration in use; version 0 means that there is none yet.
    pub(crate) fn config_head(&self) -> ConfigHead {
        self.snapshot.head()
    }

    /// Returns the configuration by which calls are served, or `None` while the daemon is not ready.
    pub(crate) fn serving_snapshot(&self) -> Option<Arc<Snapshot>> {
        let is_ready = self.spread.load().readiness.is_ready();
        self.snapshot.load_full().filter(|_| is_ready)
    }

    /// Sends a message to the control thread; it is dropped if that thread has ended.
    pub(crate) fn send_to_control(&self, message: ControlMessage) {
        if self.control.send(message).is_err() {
            log::debug!("the control thread has ended");
        }
    }

    /// Returns whether the daemon has drained, so that its threads must end.
    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }

    /// Returns whether a planned stop has begun.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }
}
