use std::{sync::Arc, time::Instant};

use medlarspool_spread::{
    DeltaUpdate, FetchOutcome, Readiness, Refusal, SnapshotHolder, Spread, SpreadPeer,
    SpreadSettings,
};
use medlarspool_types::{ConfigDigest, ConfigHead, ConfigVersion};

use super::{Store, instance};

/// One daemon: its core, which is `None` while it is down, and what its edge holds.
#[derive(Debug)]
pub struct Node {
    pub core: Option<Spread>,
    pub holder: SnapshotHolder<Vec<u8>>,
    pub holds_damaged_lists: bool,
    pub incarnation: u32,
    pub peer: SpreadPeer,
    highest_version: ConfigVersion,
}

impl Node {
    pub fn new(index: usize, zone_count: usize) -> Self {
        let zone = index % zone_count;
        Self {
            core: None,
            highest_version: ConfigVersion::NONE,
            holder: SnapshotHolder::default(),
            holds_damaged_lists: false,
            incarnation: 0,
            peer: SpreadPeer {
                address: ([127, 0, 0, 1], u16::try_from(index).unwrap()).into(),
                availability_zone: format!("zone-{zone}").parse().unwrap(),
                instance: instance(index),
                region: format!("region-{}", zone % 2).parse().unwrap(),
            },
        }
    }

    pub fn start(&mut self, settings: SpreadSettings, seed: u64, now: Instant) {
        self.kill();
        self.core = Some(Spread::new(settings, self.peer.clone(), seed, now));
    }

    pub fn kill(&mut self) {
        self.core = None;
        self.holder = SnapshotHolder::default();
        self.highest_version = ConfigVersion::NONE;
        self.holds_damaged_lists = false;
        self.incarnation += 1;
    }

    pub fn readiness(&self) -> Readiness {
        self.core
            .as_ref()
            .map_or(Readiness::AwaitingHead, Spread::readiness)
    }

    pub fn wakeup(&self) -> Option<Instant> {
        self.core.as_ref()?.next_wakeup()
    }

    /// Applies updates in the encoding of [`Store::update`].
    pub fn apply(&self, updates: &[DeltaUpdate]) -> FetchOutcome {
        let mut lists = self.holder.load_full().map(|held| held.to_vec());
        let mut head = self.holder.head();
        for update in updates {
            let Some(lists) = lists.as_mut().filter(|_| update.base == head) else {
                return FetchOutcome::Refused(Refusal::BaseMismatch);
            };
            for pair in update.delta.chunks(2) {
                lists[usize::from(pair[0]) % 64] = pair[1];
            }
            head = update.head;
        }
        self.swap(head, lists.unwrap_or_default(), updates.to_vec())
    }

    /// Takes whole lists into use, with the update from the version before if there is one.
    pub fn apply_whole(&self, head: ConfigHead, lists: Vec<u8>, store: &Store) -> FetchOutcome {
        let before = self.holder.head();
        let updates = if before.version < head.version && before.version > ConfigVersion::NONE {
            vec![store.update(before, head)]
        } else {
            Vec::new()
        };
        self.swap(head, lists, updates)
    }

    fn swap(&self, head: ConfigHead, lists: Vec<u8>, updates: Vec<DeltaUpdate>) -> FetchOutcome {
        if ConfigDigest::of(&lists) != head.digest {
            return FetchOutcome::Refused(Refusal::Damaged);
        }
        match self.holder.swap_if_newer(head, Arc::new(lists)) {
            Ok(()) => FetchOutcome::Applied { head, updates },
            Err(reason) => FetchOutcome::Refused(reason),
        }
    }

    pub fn is_intact(&self) -> bool {
        let held = self.holder.load_full();
        held.is_none_or(|lists| ConfigDigest::of(&lists) == self.holder.head().digest)
    }

    /// Asserts that the lists in use are exactly those of a committed version unless the test damaged them,
    /// that the version never decreased, and that a daemon without lists isn't ready.
    pub fn check_invariants(&mut self, store: &Store) {
        let head = self.holder.head();
        assert!(
            head.version >= self.highest_version,
            "the version of {:?} decreased",
            self.peer
        );
        self.highest_version = head.version;
        let committed = store.head_of(usize::try_from(head.version.0).unwrap());
        assert_eq!(
            head, committed,
            "{:?} holds a head that was never committed",
            self.peer
        );
        self.holds_damaged_lists &= !self.is_intact();
        assert!(
            self.holds_damaged_lists || self.is_intact(),
            "the lists of {:?} don't match their digest",
            self.peer
        );
        let ready = self
            .core
            .as_ref()
            .is_some_and(|core| core.readiness().is_ready());
        assert!(
            !ready || head.version > ConfigVersion::NONE,
            "ready without lists"
        );
    }
}
