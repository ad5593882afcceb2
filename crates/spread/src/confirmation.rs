use std::time::{Duration, Instant};

use medlarspool_types::{ConfigHead, ConfigVersion};

use crate::{Readiness, peer_table::PeerTable};

/// The least number of availability zones whose peers' heads confirm a version without the store.
const MIN_ZONES: usize = 2;
/// The interval between two checks of the peers' heads once the first wait is over.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The oldest head that a process may serve with, and the readiness that names what confirmed it.
#[derive(Clone, Copy, Debug)]
struct Confirmed {
    by: Readiness,
    head: ConfigHead,
}

/// Determines the oldest version that a new process may serve with.
///
/// The store confirms it, or the peers if the store fails. `docs/design/spread.md` states the guarantee in
/// each case.
#[derive(Debug)]
pub(crate) struct Confirmation {
    confirmed: Option<Confirmed>,
    /// The time of the next check of the peers' heads.
    next_check: Instant,
    /// Whether any read of the store's head has failed.
    store_failed: bool,
}

impl Confirmation {
    pub(crate) fn new(now: Instant, wait: Duration) -> Self {
        Self {
            confirmed: None,
            next_check: now + wait,
            store_failed: false,
        }
    }

    /// Confirms the head that the store returned to a read that began after the process started.
    ///
    /// A newer head than the one in use doesn't replace what a ready daemon has confirmed, so the
    /// daemon stays ready while it fetches that version.
    pub(crate) fn on_store_head(&mut self, store_head: ConfigHead, head_in_use: ConfigHead) {
        if self.readiness(head_in_use).is_ready() && store_head.version > head_in_use.version {
            return;
        }
        let by = Readiness::ReadyByStore;
        self.confirmed = Some(Confirmed {
            by,
            head: store_head,
        });
    }

    pub(crate) const fn on_store_failed(&mut self) {
        self.store_failed = true;
    }

    /// Confirms the highest head that the peers announced, if a read of the store has failed, the
    /// wait is over and nothing is confirmed yet.
    ///
    /// One availability zone is enough only if no peer is known in another.
    pub(crate) fn confirm_by_peers(&mut self, now: Instant, peers: &PeerTable) {
        if self.confirmed.is_some() || now < self.next_check {
            return;
        }
        self.next_check = now + PEER_CHECK_INTERVAL;
        if !self.store_failed {
            return;
        }
        let heads = peers.heads_by_zone();
        let by = if heads.len() >= MIN_ZONES {
            Readiness::ReadyByPeers
        } else if heads.len() == 1 && peers.zone_count() == 1 {
            Readiness::ReadyByOneZone
        } else {
            return;
        };
        let head = heads.into_values().max().unwrap_or_default();
        self.confirmed = Some(Confirmed { by, head });
    }

    pub(crate) fn wakeup(&self) -> Option<Instant> {
        self.confirmed.is_none().then_some(self.next_check)
    }

    pub(crate) fn readiness(&self, head_in_use: ConfigHead) -> Readiness {
        let Some(Confirmed { by, head }) = self.confirmed else {
            return if self.store_failed {
                Readiness::AwaitingPeers
            } else {
                Readiness::AwaitingHead
            };
        };
        if head.version > head_in_use.version {
            Readiness::AwaitingLists
        } else if head_in_use.version == ConfigVersion::NONE {
            Readiness::NoLists
        } else {
            by
        }
    }
}
