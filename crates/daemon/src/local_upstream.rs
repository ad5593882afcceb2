use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use tokio::sync::Semaphore;

use crate::Announcement;

/// How long an announcement holds without being renewed.
pub(crate) const ANNOUNCEMENT_LEASE: Duration = Duration::from_secs(10);

/// The upstream beside this daemon, as it last announced itself.
#[derive(Default)]
pub(crate) struct LocalUpstream {
    state: Mutex<Option<Announced>>,
}

/// An announcement with the lease it renews and the slots it offers.
#[derive(Clone)]
pub(crate) struct Announced {
    pub(crate) announcement: Announcement,
    pub(crate) renewed_at: Instant,
    pub(crate) slots: Arc<Semaphore>,
}

impl LocalUpstream {
    /// Takes a new or renewed announcement.
    pub(crate) fn announce(&self, announcement: Announcement, now: Instant) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let slots = state
            .as_ref()
            .filter(|announced| announced.announcement.slots == announcement.slots)
            .map_or_else(
                || Arc::new(Semaphore::new(announcement.slots as usize)),
                |announced| Arc::clone(&announced.slots),
            );
        *state = Some(Announced {
            announcement,
            renewed_at: now,
            slots,
        });
    }

    /// Returns the upstream if its announcement has not lapsed.
    pub(crate) fn current(&self, now: Instant) -> Option<Announced> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state
            .clone()
            .filter(|announced| now.duration_since(announced.renewed_at) < ANNOUNCEMENT_LEASE)
    }
}
