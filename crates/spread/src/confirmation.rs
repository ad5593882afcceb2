use std::time::{Duration, Instant};

use medlarspool_types::{ConfigHead, ConfigVersion};

use crate::{Readiness, peer_table::PeerTable};

/// The number of availability zones whose peers' heads together stand in for the store's answer.
const MIN_ZONES: usize = 2;
/// The time between two looks at the heads that peers showed, once the wait is over.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The version that a process must at least hold, and what confirmed it.
#[derive(Clone, Copy, Debug)]
struct Confirmed {
    by: Readiness,
    head: ConfigHead,
}

/// Finds out which version a new process must at least hold before it serves.
///
/// What is promised in each case stands in `docs/design/spread.md`.
#[derive(Debug)]
pub(crate) struct Confirmation {
    confirmed: Option<Confirmed>,
    store_failed: bool,
    wait_until: Instant,
}

impl Confirmation {
    pub(crate) fn new(now: Instant, wait: Duration) -> Self {
        Self {
            confirmed: None,
            store_failed: false,
            wait_until: now + wait,
        }
    }

    /// Takes the head that the store answered with, which a process asks for only after it began.
    ///
    /// A daemon that already serves goes on while it fetches what the store has beyond.
    pub(crate) fn on_store_head(&mut self, store_head: ConfigHead, held: ConfigHead) {
        if self.readiness(held).is_ready() && store_head.version > held.version {
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

    /// Takes the highest head that peers showed once the store has failed and the wait is over.
    pub(crate) fn confirm_by_peers(&mut self, now: Instant, peers: &PeerTable) {
        if self.confirmed.is_some() || now < self.wait_until {
            return;
        }
        self.wait_until = now + PEER_CHECK_INTERVAL;
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
        self.confirmed.is_none().then_some(self.wait_until)
    }

    pub(crate) fn readiness(&self, held: ConfigHead) -> Readiness {
        let Some(Confirmed { by, head }) = self.confirmed else {
            return if self.store_failed {
                Readiness::AwaitingPeers
            } else {
                Readiness::AwaitingHead
            };
        };
        if head.version > held.version {
            Readiness::AwaitingLists
        } else if held.version == ConfigVersion::NONE {
            Readiness::NoLists
        } else {
            by
        }
    }
}
