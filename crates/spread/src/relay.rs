use std::time::{Duration, Instant};

use medlarspool_types::{ConfigHead, InstanceId};

use crate::{FetchSource, LinkClass};

/// How far a daemon hands a change on, by where it learned of it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Reach {
    /// Whether the other regions get it from here.
    pub(crate) regions: bool,
    /// Whether the other availability zones of the region get it from here.
    pub(crate) zones: bool,
}

impl Reach {
    /// Returns the reach of a change from this source, which arrived over this link.
    pub(crate) const fn of(source: &FetchSource, link: LinkClass) -> Self {
        match (source, link) {
            (FetchSource::Store, _) | (_, LinkClass::Store) => Self {
                regions: true,
                zones: true,
            },
            (_, LinkClass::BetweenRegions) => Self {
                regions: false,
                zones: true,
            },
            (_, LinkClass::BetweenZones | LinkClass::SameZone) => Self {
                regions: false,
                zones: false,
            },
        }
    }
}

/// What waits to be handed on.
#[derive(Debug)]
pub(crate) struct PendingRelay {
    /// The version from which peers are expected to start.
    pub(crate) base: ConfigHead,
    /// Who needs no copy because it gave the change.
    pub(crate) origin: Option<InstanceId>,
    /// How far it goes.
    pub(crate) reach: Reach,
}

/// Paces the handing on of changes, so that a burst shares datagrams.
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

    /// Notes that the versions after `base` shall be handed on.
    pub(crate) fn schedule(&mut self, base: ConfigHead, source: &FetchSource, link: LinkClass) {
        let reach = Reach::of(source, link);
        let origin = match source {
            FetchSource::Offer(instance) => Some(instance.clone()),
            FetchSource::Peer(peer) => Some(peer.instance.clone()),
            FetchSource::Store => None,
        };
        if let Some(pending) = &mut self.pending {
            pending.reach.regions |= reach.regions;
            pending.reach.zones |= reach.zones;
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

    /// Takes what is due.
    pub(crate) fn take_due(&mut self, now: Instant, interval: Duration) -> Option<PendingRelay> {
        if self.last_push + interval > now {
            return None;
        }
        let pending = self.pending.take()?;
        self.last_push = now;
        Some(pending)
    }
}
