use std::{hint::black_box, sync::Arc, time::Instant};

use medlarspool_config::{EntryChange, Lists, ListsPatch, Snapshot};
use medlarspool_spread::{DeltaUpdate, apply_updates, update_between};

use crate::{PageDigests, RepairCost, RepairMethod, SampleLists};

/// The number of runs of each method; the cost is that of the run with the median processor time.
const RUNS_PER_METHOD: usize = 3;

/// Measures the repair of a daemon whose lists are outdated or damaged (the requester) by a daemon with the
/// newest version (the source).
#[derive(Debug)]
pub struct RepairTrial {
    /// The requester's snapshot, whose entries differ from `newest` in the changed or damaged customers.
    outdated: Snapshot,
    change_count: usize,
    /// Whether the requester holds the newest version with damaged entries, instead of an older version.
    /// Damaged entries are found only by comparing digests, so the time of computing the requester's digests is
    /// part of the cost.
    is_damaged: bool,
    newest: Snapshot,
    one_change: DeltaUpdate,
}

impl RepairTrial {
    /// Creates lists of this many customers and changes this many of their entries. For the size of the delta
    /// log, each changed entry counts as one version.
    #[must_use]
    pub fn new(customer_count: usize, change_count: usize, seed: u64) -> Self {
        let mut sample = SampleLists::new(customer_count, seed);
        let outdated = sample.snapshot();
        sample.change_customers(1);
        let one_change = update_between(&outdated, &sample.snapshot());
        sample.change_customers(change_count);
        Self {
            outdated,
            change_count,
            is_damaged: false,
            newest: sample.snapshot(),
            one_change,
        }
    }

    /// Creates the same lists, but the requester holds the newest version with this many entries damaged.
    #[must_use]
    pub fn with_damage(customer_count: usize, damaged_count: usize, seed: u64) -> Self {
        Self {
            is_damaged: true,
            ..Self::new(customer_count, damaged_count, seed)
        }
    }

    /// Repairs the requester's lists by a method and returns the cost.
    ///
    /// # Panics
    ///
    /// Panics if the result isn't the newest version.
    #[must_use]
    pub fn cost(&self, method: RepairMethod) -> RepairCost {
        let mut runs: Vec<RepairCost> = (0..RUNS_PER_METHOD)
            .map(|_| self.run_once(method))
            .collect();
        runs.sort_by_key(|cost| cost.processor_time);
        runs[RUNS_PER_METHOD / 2]
    }

    fn run_once(&self, method: RepairMethod) -> RepairCost {
        match method {
            RepairMethod::DeltaLog => self.run_delta_log(),
            RepairMethod::Pages => self.run_pages(),
            RepairMethod::Whole => self.run_whole(),
        }
    }

    /// Counts the bytes of the first update times the number of changes, and measures the time of applying one
    /// update that holds all changes.
    fn run_delta_log(&self) -> RepairCost {
        let updates = [update_between(&self.outdated, &self.newest)];
        let start = Instant::now();
        let repaired = apply_updates(&self.outdated, &updates).expect("the update applies");
        let processor_time = start.elapsed();
        assert_eq!(repaired.head(), self.newest.head());
        RepairCost {
            payload_bytes: self.one_change.wire_bytes() * self.change_count,
            processor_time,
            round_trips: 1,
        }
    }

    /// Counts the digests that are exchanged and the pages that differ. Both sides keep their digests, so the
    /// time of computing them counts only if damage had to be found.
    fn run_pages(&self) -> RepairCost {
        let pages = PageDigests::page_count(self.newest.lists().customers().len());
        let source = PageDigests::of(self.newest.lists(), pages);
        let start = Instant::now();
        let requester = PageDigests::of(self.outdated.lists(), pages);
        let digest_time = start.elapsed();
        let start = Instant::now();
        let compared_pages = source.pages_to_compare(&requester);
        let differing_pages = source.differing_pages(&requester, &compared_pages);
        let patch = patch(&requester, &source, &differing_pages);
        let lists = patch.apply(self.outdated.lists());
        let lists = lists.expect("the pages make up the newest lists");
        let repaired = Snapshot::build(self.newest.head(), Arc::new(lists)).expect("the newest");
        let repair_time = start.elapsed();
        black_box(repaired);
        let digest_count = source.group_digests().len() + compared_pages.len();
        let entry_bytes: usize = differing_pages
            .iter()
            .map(|page| source.page_bytes(*page))
            .sum();
        RepairCost {
            payload_bytes: digest_count * PageDigests::DIGEST_BYTES + entry_bytes,
            processor_time: if self.is_damaged {
                digest_time + repair_time
            } else {
                repair_time
            },
            round_trips: 3,
        }
    }

    fn run_whole(&self) -> RepairCost {
        let start = Instant::now();
        let encoded = self.newest.lists().encode();
        let lists = Lists::decode(&encoded).expect("a valid encoding");
        let repaired = Snapshot::build(self.newest.head(), Arc::new(lists)).expect("the newest");
        let processor_time = start.elapsed();
        black_box(repaired);
        RepairCost {
            payload_bytes: encoded.len(),
            processor_time,
            round_trips: 1,
        }
    }
}

/// Returns the patch that replaces the requester's differing pages by the source's.
fn patch(
    requester: &PageDigests<'_>,
    source: &PageDigests<'_>,
    differing_pages: &[usize],
) -> ListsPatch {
    let removals = differing_pages
        .iter()
        .flat_map(|page| requester.page_entries(*page));
    let removals = removals.map(|entry| EntryChange::RemoveCustomer(entry.customer.clone()));
    let puts = differing_pages
        .iter()
        .flat_map(|page| source.page_entries(*page));
    let puts = puts.map(|entry| EntryChange::PutCustomer((*entry).clone()));
    ListsPatch::new(removals.chain(puts))
}
