use std::{cmp::Reverse, collections::BTreeMap};

use crate::{MemberUpdate, datagram_space::DatagramSpace, update_key::UpdateKey};

/// With each multiple of this queue length, ordinary updates are sent fewer times; anti-entropy
/// repair delivers them to the members that gossip missed.
const CROWDED_QUEUE_LEN: usize = 64;

/// The minimum number of times that an ordinary update is sent.
const MIN_TRANSMITS: u32 = 2;

/// The priority of an update: urgent ones first, then those sent the fewest times, then the newest.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
    /// Whether the update is not urgent; `false` sorts first.
    is_ordinary: bool,
    /// How many copies of the update were sent.
    transmits: u32,
    arrival: Reverse<u64>,
}

/// The updates to gossip, each a bounded number of times.
#[derive(Debug, Default)]
pub(crate) struct GossipQueue {
    /// The number of updates pushed so far, which orders them by arrival.
    push_count: u64,
    by_rank: BTreeMap<Rank, UpdateKey>,
    by_key: BTreeMap<UpdateKey, Rank>,
}

impl GossipQueue {
    pub(crate) fn has_urgent(&self) -> bool {
        let first = self.by_rank.first_key_value();
        first.is_some_and(|(rank, _)| !rank.is_ordinary)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_rank.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.by_rank.len()
    }

    /// Adds an update, which replaces an older one with the same key.
    pub(crate) fn push(&mut self, key: UpdateKey, urgent: bool) {
        self.remove(&key);
        self.push_count += 1;
        let rank = Rank {
            is_ordinary: !urgent,
            transmits: 0,
            arrival: Reverse(self.push_count),
        };
        self.insert(key, rank);
    }

    pub(crate) fn remove(&mut self, key: &UpdateKey) {
        if let Some(rank) = self.by_key.remove(key) {
            self.by_rank.remove(&rank);
        }
    }

    /// Returns the updates of highest priority that fit into `max_bytes`, only urgent ones if
    /// `urgent_only`.
    ///
    /// Counts each as sent `copies` times, and removes those that were then sent often enough for a fleet
    /// of `member_count`. `update_of` returns the content of an update, or nothing if there is none any
    /// more.
    pub(crate) fn take(
        &mut self,
        max_bytes: usize,
        copies: u32,
        urgent_only: bool,
        member_count: usize,
        mut update_of: impl FnMut(&UpdateKey) -> Option<MemberUpdate>,
    ) -> Vec<MemberUpdate> {
        let mut updates = Vec::new();
        let mut taken = Vec::new();
        for (rank, key) in &self.by_rank {
            if urgent_only && rank.is_ordinary {
                break;
            }
            updates.extend(update_of(key));
            if DatagramSpace::bytes_of(&updates) > max_bytes {
                updates.pop();
                break;
            }
            taken.push((*rank, key.clone()));
        }
        self.count_transmits(taken, copies, member_count);
        updates
    }

    fn count_transmits(&mut self, taken: Vec<(Rank, UpdateKey)>, copies: u32, member_count: usize) {
        let queue_len = self.len();
        for (rank, key) in taken {
            self.remove(&key);
            let rank = Rank {
                transmits: rank.transmits + copies,
                ..rank
            };
            if rank.transmits < max_transmits(!rank.is_ordinary, member_count, queue_len) {
                self.insert(key, rank);
            }
        }
    }

    fn insert(&mut self, key: UpdateKey, rank: Rank) {
        self.by_rank.insert(rank, key.clone());
        self.by_key.insert(key, rank);
    }
}

/// Returns how many times each daemon sends an update.
///
/// If each daemon sends `c` copies and a tenth of them is lost, a share `exp(-0.9 c)` of the fleet
/// does not receive the update. Urgent updates are sent `2 ln n + 2` times, so that less than one
/// daemon in a thousand fleets misses one. Ordinary updates are sent `ln n + 3` times, and fewer times
/// the longer the queue is.
fn max_transmits(urgent: bool, member_count: usize, queue_len: usize) -> u32 {
    let ln = member_count.max(2).ilog2() * 7 / 10 + 1;
    if urgent {
        return 2 * ln + 2;
    }
    let crowding = u32::try_from(queue_len / CROWDED_QUEUE_LEN).unwrap_or(u32::MAX);
    ((ln + 3) / (crowding + 1)).max(MIN_TRANSMITS)
}
