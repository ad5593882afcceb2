use std::time::{Duration, Instant};

use medlarspool_types::{ConfigHead, InstanceId};

use crate::{FetchSource, LinkClass};

/// Which groups besides its own availability zone a daemon pushes a change to.
///
/// A change from the store goes to all groups, one from another region only to the zones of this region, and
/// one from another zone to neither, so that few copies cross each boundary.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Reach {
    /// Whether the change is pushed to the other regions.
    pub(crate) includes_regions: bool,
    /// Whether the change is pushed to the other availability zones of the region.
    pub(crate) includes_zones: bool,
}

impl Reach {
    /// Returns the reach of a change from this source that arrived over this class of link.
    pub(crate) const fn of_change(source: &FetchSource, link: LinkClass) -> Self {
        match (source, link) {
            (FetchSource::Store, _) | (_, LinkClass::Store) => Self {
                includes_regions: true,
                includes_zones: true,
            },
            (_, LinkClass::BetweenRegions) => Self {
                includes_regions: false,
                includes_zones: true,
            },
            (_, LinkClass::BetweenZones | LinkClass::SameZone) => Self {
                includes_regions: false,
                includes_zones: false,
            },
        }
    }
}

/// Changes that wait for the next push.
#[derive(Debug)]
pub(crate) struct PendingRelay {
    /// The head before the first of the changes, which peers are expected to hold.
    pub(crate) base: ConfigHead,
    /// The peer that sent the change and needs no copy; `None` if the store or several peers did.
    pub(crate) origin: Option<InstanceId>,
    /// The groups that the push goes to.
    pub(crate) reach: Reach,
}

/// Limits the rate of pushes, so that the changes of a burst share datagrams.
#[derive(Debug)]
pub(crate) struct Relay {
    last_push: Instant,
    pending: Option<PendingRelay>,
}

impl Relay {
    pub(crate) const fn new(now: Instant) -> Self {
        Self {
            last_push: now,
            pending: None,
        }
    }

    /// Schedules a push of the versions after `base`, or adds them to the pending one.
    pub(crate) fn schedule(&mut self, base: ConfigHead, source: &FetchSource, link: LinkClass) {
        let reach = Reach::of_change(source, link);
        let origin = match source {
            FetchSource::Offer(instance) => Some(instance.clone()),
            FetchSource::Peer(peer) => Some(peer.instance.clone()),
            FetchSource::Store => None,
        };
        if let Some(pending) = &mut self.pending {
            pending.reach.includes_regions |= reach.includes_regions;
            pending.reach.includes_zones |= reach.includes_zones;
            pending.origin = None;
        } else {
            self.pending = Some(PendingRelay {
                base,
                origin,
                reach,
            });
        }
    }

    pub(crate) fn wakeup(&self, interval: Duration) -> Option<Instant> {
        self.pending.as_ref().map(|_| self.last_push + interval)
    }

    /// Removes and returns the pending push if it is due.
    pub(crate) fn take_due(&mut self, now: Instant, interval: Duration) -> Option<PendingRelay> {
        if self.last_push + interval > now {
            return None;
        }
        let pending = self.pending.take()?;
        self.last_push = now;
        Some(pending)
    }
}
