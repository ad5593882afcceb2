use std::{
    collections::HashMap,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use medlarspool_config::Snapshot;
use medlarspool_proto::TransferReply;
use medlarspool_spread::update_between;
use medlarspool_types::{ConfigHead, ConfigVersion};

use crate::SampleLists;

/// The time that one read of the store takes.
pub(crate) const READ_TIME: Duration = Duration::from_millis(5);

#[derive(Debug)]
struct AcceptedVersions {
    sample: SampleLists,
    snapshots: HashMap<ConfigVersion, Snapshot>,
    versions: Vec<(ConfigHead, Instant)>,
}

/// The store in the convergence bench: it holds the accepted versions, counts reads and simulates outages.
#[derive(Debug)]
pub struct ConvergenceStore {
    accepted: Mutex<AcceptedVersions>,
    is_down: AtomicBool,
    head_reads: AtomicU64,
    list_reads: AtomicU64,
}

impl ConvergenceStore {
    /// Creates a store that holds one version with this many customers.
    #[must_use]
    pub fn new(customer_count: usize, seed: u64) -> Self {
        let accepted = AcceptedVersions {
            sample: SampleLists::new(customer_count, seed),
            snapshots: HashMap::new(),
            versions: Vec::new(),
        };
        let store = Self {
            accepted: Mutex::new(accepted),
            is_down: AtomicBool::new(false),
            head_reads: AtomicU64::new(0),
            list_reads: AtomicU64::new(0),
        };
        store.commit();
        store
    }

    /// Accepts a change of one entry.
    pub fn commit(&self) -> ConfigHead {
        let mut accepted = self.lock();
        accepted.sample.change_customers(1);
        let snapshot = accepted.sample.snapshot();
        let head = snapshot.head();
        accepted.snapshots.insert(head.version, snapshot);
        accepted.versions.push((head, Instant::now()));
        head
    }

    /// Returns the accepted versions, oldest first, and when each was accepted.
    #[must_use]
    pub fn versions(&self) -> Vec<(ConfigHead, Instant)> {
        self.lock().versions.clone()
    }

    /// Starts or ends an outage.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::Relaxed);
    }

    /// Returns the number of reads of the head so far.
    #[must_use]
    pub fn head_reads(&self) -> u64 {
        self.head_reads.load(Ordering::Relaxed)
    }

    /// Returns the number of reads of lists so far.
    #[must_use]
    pub fn list_reads(&self) -> u64 {
        self.list_reads.load(Ordering::Relaxed)
    }

    pub(crate) fn read_head(&self) -> Option<ConfigHead> {
        self.head_reads.fetch_add(1, Ordering::Relaxed);
        if self.is_down.load(Ordering::Relaxed) {
            return None;
        }
        self.lock().versions.last().map(|(head, _)| *head)
    }

    /// Returns the update from the version `base` to the version `head`, or the whole lists of `head` if `base`
    /// is unknown.
    pub(crate) fn read_lists(&self, base: ConfigHead, head: ConfigHead) -> Option<TransferReply> {
        self.list_reads.fetch_add(1, Ordering::Relaxed);
        if self.is_down.load(Ordering::Relaxed) {
            return None;
        }
        let accepted = self.lock();
        let next = accepted.snapshots.get(&head.version)?;
        let base = accepted.snapshots.get(&base.version);
        let updates = base.map(|base| [update_between(base, next)]);
        let updates = updates.as_ref().map(<[_; 1]>::as_slice);
        Some(TransferReply::granted(head, updates, || {
            next.lists().encode()
        }))
    }

    fn lock(&self) -> MutexGuard<'_, AcceptedVersions> {
        self.accepted.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
