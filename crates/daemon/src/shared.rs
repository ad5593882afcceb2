use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
    mpsc::Sender,
};

use arc_swap::{ArcSwap, ArcSwapOption};
use medlarspool_config::Snapshot;
use medlarspool_proto::FleetKey;
use medlarspool_types::{Clock, ConfigHead, Incarnation};

use crate::{
    Settings, control_message::ControlMessage, directory::Directory, local_upstream::LocalUpstream,
    metrics::Metrics,
};

/// What the daemon's edges and its control thread share.
pub(crate) struct Shared {
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) control: Sender<ControlMessage>,
    pub(crate) directory: ArcSwap<Directory>,
    pub(crate) draining: AtomicBool,
    pub(crate) incarnation: Incarnation,
    pub(crate) key: FleetKey,
    pub(crate) local_upstream: LocalUpstream,
    pub(crate) metrics: Metrics,
    pub(crate) settings: Settings,
    pub(crate) snapshot: ArcSwapOption<Snapshot>,
    pub(crate) stopped: AtomicBool,
}

impl Shared {
    /// Returns the head of the configuration in use, or the default one before the first.
    pub(crate) fn held(&self) -> ConfigHead {
        self.snapshot
            .load()
            .as_ref()
            .map_or_else(ConfigHead::default, |snapshot| snapshot.head())
    }

    /// Tells the control thread something; once that has ended, nobody needs to know.
    pub(crate) fn tell_control(&self, message: ControlMessage) {
        if self.control.send(message).is_err() {
            log::debug!("the control thread is gone");
        }
    }

    /// Returns whether the daemon has drained and its threads end.
    pub(crate) fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }

    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }
}
