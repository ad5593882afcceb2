use std::{cmp::Reverse, net::SocketAddr, rc::Rc};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::QuotaPartition;

/// The live daemons in the order in which they claim a partition that nobody holds.
///
/// Daemons that know the same reports compute the same order, so that they rarely claim the same partition. Where they
/// don't, the conditional writes decide.
#[derive(Debug, Default)]
pub(crate) struct QuotaRanks {
    daemons: Vec<RankedDaemon>,
    zones: Vec<Rc<str>>,
}

#[derive(Debug)]
struct RankedDaemon {
    address: SocketAddr,
    hash: u64,
    /// The bits of the partitions that it holds, and of those that it is the first to claim.
    partitions: u32,
    zone: Rc<str>,
}

/// What decides the order; the least goes first. A daemon that holds partitions of another residue comes last, since an
/// account would lose two of its four partitions with it.
type RankKey = (bool, bool, u32, Reverse<u64>);

impl QuotaRanks {
    /// Creates the ranks of these daemons: their addresses, availability zones and the bits of the partitions that each
    /// of them holds.
    #[must_use]
    pub(crate) fn new(daemons: impl IntoIterator<Item = (SocketAddr, Rc<str>, u32)>) -> Self {
        let daemons: Vec<_> = daemons
            .into_iter()
            .map(|(address, zone, partitions)| RankedDaemon {
                address,
                hash: xxh3_64(address.to_string().as_bytes()),
                partitions,
                zone,
            })
            .collect();
        let mut zones: Vec<_> = daemons.iter().map(|daemon| daemon.zone.clone()).collect();
        zones.sort_unstable();
        zones.dedup();
        Self { daemons, zones }
    }

    /// Returns the rank of a daemon for each of these partitions, in this order. The daemon that is the first for one
    /// of them counts as its holder for the next ones.
    #[must_use]
    pub(crate) fn of(&mut self, address: SocketAddr, partitions: &[QuotaPartition]) -> Vec<usize> {
        partitions
            .iter()
            .map(|partition| self.rank(address, *partition))
            .collect()
    }

    fn rank(&mut self, address: SocketAddr, partition: QuotaPartition) -> usize {
        let zone_index = partition.index() % self.zones.len().max(1);
        let zone = self.zones.get(zone_index);
        let keys: Vec<RankKey> = self
            .daemons
            .iter()
            .map(|daemon| daemon.key(partition, zone))
            .collect();
        let own = self
            .daemons
            .iter()
            .position(|daemon| daemon.address == address);
        let rank = own.map_or(keys.len(), |own| {
            keys.iter().filter(|key| **key < keys[own]).count()
        });
        let first = (0..keys.len()).min_by_key(|index| keys[*index]);
        if let Some(first) = first {
            self.daemons[first].partitions |= partition.bit();
        }
        rank
    }
}

impl RankedDaemon {
    fn key(&self, partition: QuotaPartition, zone: Option<&Rc<str>>) -> RankKey {
        let mut held = QuotaPartition::all().filter(|other| self.partitions & other.bit() != 0);
        let holds_other_residue = held.any(|other| other.residue() != partition.residue());
        (
            holds_other_residue,
            zone != Some(&self.zone),
            self.partitions.count_ones(),
            Reverse(xxh3_64_with_seed(&[partition.number()], self.hash)),
        )
    }
}
