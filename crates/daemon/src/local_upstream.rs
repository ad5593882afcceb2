use std::{
    sync::{Mutex, PoisonError},
    time::{Duration, Instant},
};

use crate::Announcement;

/// How long an announcement is valid without being renewed.
pub(crate) const ANNOUNCEMENT_LEASE: Duration = Duration::from_secs(10);

/// The last announcement of the upstream beside this daemon, which lapses if it is not renewed.
#[derive(Default)]
pub(crate) struct LocalUpstream {
    state: Mutex<Option<Announced>>,
}

struct Announced {
    announcement: Announcement,
    renewed_at: Instant,
}

impl LocalUpstream {
    /// Records a new or renewed announcement.
    pub(crate) fn announce(&self, announcement: Announcement, now: Instant) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        *state = Some(Announced {
            announcement,
            renewed_at: now,
        });
    }

    /// Returns the last announcement if it has not lapsed.
    pub(crate) fn current(&self, now: Instant) -> Option<Announcement> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state
            .as_ref()
            .filter(|announced| now.duration_since(announced.renewed_at) < ANNOUNCEMENT_LEASE)
            .map(|announced| announced.announcement.clone())
    }
}
