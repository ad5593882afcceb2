use std::{cmp::Reverse, collections::BTreeMap};

use crate::{MemberUpdate, topic::Topic, word_room::WordRoom};

/// The length from which each piece of ordinary news is sent fewer times; repair carries the rest.
const CROWDED_TOPICS: usize = 64;

/// The fewest times that ordinary news is sent.
const MIN_TRANSMITS: u32 = 2;

/// Where a piece of news stands: urgent first, then what was sent least, then what is newest.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
    ordinary: bool,
    transmits: u32,
    age: Reverse<u64>,
}

/// The news to be sent, each piece a bounded number of times.
#[derive(Debug, Default)]
pub(crate) struct GossipQueue {
    arrivals: u64,
    by_rank: BTreeMap<Rank, Topic>,
    by_topic: BTreeMap<Topic, Rank>,
}

impl GossipQueue {
    pub(crate) fn has_urgent(&self) -> bool {
        let first = self.by_rank.first_key_value();
        first.is_some_and(|(rank, _)| !rank.ordinary)
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_rank.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.by_rank.len()
    }

    /// Takes up a piece of news, in place of an older one on the same topic.
    pub(crate) fn push(&mut self, topic: Topic, urgent: bool) {
        self.remove(&topic);
        self.arrivals += 1;
        let rank = Rank {
            ordinary: !urgent,
            transmits: 0,
            age: Reverse(self.arrivals),
        };
        self.insert(topic, rank);
    }

    pub(crate) fn remove(&mut self, topic: &Topic) {
        if let Some(rank) = self.by_topic.remove(topic) {
            self.by_rank.remove(&rank);
        }
    }

    /// Returns the words that fit and counts `copies` sendings of each.
    pub(crate) fn take(
        &mut self,
        room_bytes: usize,
        copies: u32,
        urgent_only: bool,
        members: usize,
        mut update_of: impl FnMut(&Topic) -> Option<MemberUpdate>,
    ) -> Vec<MemberUpdate> {
        let mut updates = Vec::new();
        let mut taken = Vec::new();
        for (rank, topic) in &self.by_rank {
            if urgent_only && rank.ordinary {
                break;
            }
            updates.extend(update_of(topic));
            if WordRoom::bytes_of(&updates) > room_bytes {
                updates.pop();
                break;
            }
            taken.push((*rank, topic.clone()));
        }
        self.count_transmits(taken, copies, members);
        updates
    }

    fn count_transmits(&mut self, taken: Vec<(Rank, Topic)>, copies: u32, members: usize) {
        let crowd = self.len();
        for (rank, topic) in taken {
            self.remove(&topic);
            let rank = Rank {
                transmits: rank.transmits + copies,
                ..rank
            };
            if rank.transmits < max_transmits(!rank.ordinary, members, crowd) {
                self.insert(topic, rank);
            }
        }
    }

    fn insert(&mut self, topic: Topic, rank: Rank) {
        self.by_rank.insert(rank, topic.clone());
        self.by_topic.insert(topic, rank);
    }
}

/// Returns how many copies of a piece of news each daemon sends.
///
/// With `c` copies of which a tenth is lost, a share `exp(-0.9 c)` of the fleet is missed. Urgent
/// news takes `2 ln n + 2` so that less than one daemon in a thousand fleets is.
fn max_transmits(urgent: bool, members: usize, crowd: usize) -> u32 {
    let ln = members.max(2).ilog2() * 7 / 10 + 1;
    if urgent {
        return 2 * ln + 2;
    }
    let crowded = u32::try_from(crowd / CROWDED_TOPICS).unwrap_or(u32::MAX);
    ((ln + 3) / (crowded + 1)).max(MIN_TRANSMITS)
}
