use std::{
    cell::RefCell,
    collections::{BTreeMap, HashMap, HashSet},
    net::SocketAddr,
    rc::Rc,
};

use crate::{BootTime, QuotaPartition, quota_ranks::QuotaRanks};

/// What other daemons' reports say of the holders of partitions, and which daemons may claim those without one.
#[derive(Debug)]
pub(crate) struct ReportedHolders {
    /// By partition.
    holders: Vec<ReportedHolder>,
    /// The serving daemons that are alive, with their availability zones.
    live: Vec<(SocketAddr, Rc<str>)>,
    peers: HashMap<SocketAddr, ReportedPeer>,
    /// This daemon's ranks for all partitions without a holder; none if they have to be computed.
    ranks: RefCell<Option<BTreeMap<QuotaPartition, usize>>>,
}

#[derive(Clone, Copy, Debug)]
struct ReportedHolder {
    /// The live daemon that reported the partition last.
    holder: Option<SocketAddr>,
    /// Since when no daemon has.
    unreported_since: BootTime,
}

#[derive(Clone, Copy, Debug)]
struct ReportedPeer {
    incarnation: u64,
    partitions: u32,
    reported_at: BootTime,
}

impl ReportedHolders {
    /// Creates the state of a daemon that has heard of no holder.
    pub(crate) fn new(now: BootTime) -> Self {
        let unreported = ReportedHolder {
            holder: None,
            unreported_since: now,
        };
        Self {
            holders: vec![unreported; usize::from(QuotaPartition::COUNT)],
            live: Vec::new(),
            peers: HashMap::new(),
            ranks: RefCell::new(None),
        }
    }

    /// Applies another daemon's report: its incarnation and the bits of the partitions that it holds.
    pub(crate) fn receive_report(
        &mut self,
        now: BootTime,
        from: SocketAddr,
        incarnation: u64,
        partitions: u32,
    ) {
        let peer = ReportedPeer {
            incarnation,
            partitions,
            reported_at: now,
        };
        let earlier = self.peers.insert(from, peer);
        if earlier.map(|peer| peer.partitions) != Some(partitions) {
            self.forget_ranks();
        }
        for partition in QuotaPartition::all() {
            let reported = &mut self.holders[partition.index()];
            if partitions & partition.bit() != 0 {
                reported.holder = Some(from);
            } else if reported.holder == Some(from) {
                reported.holder = None;
                reported.unreported_since = now;
            }
        }
    }

    /// Sets the daemons that are alive, each with its availability zone and whether it serves.
    pub(crate) fn set_alive(&mut self, now: BootTime, alive: &[(SocketAddr, Rc<str>, bool)]) {
        let addresses: HashSet<_> = alive.iter().map(|(address, ..)| *address).collect();
        self.peers.retain(|address, _| addresses.contains(address));
        for reported in &mut self.holders {
            if reported
                .holder
                .is_some_and(|holder| !addresses.contains(&holder))
            {
                reported.holder = None;
                reported.unreported_since = now;
                self.ranks.take();
            }
        }
        let any_serves = alive.iter().any(|(.., serves)| *serves);
        let live = alive
            .iter()
            .filter(|(.., serves)| *serves || !any_serves)
            .map(|(address, zone, _)| (*address, zone.clone()))
            .collect();
        if self.live != live {
            self.live = live;
            self.forget_ranks();
        }
    }

    /// Records that this daemon no longer holds a partition.
    pub(crate) fn record_own_loss(&mut self, now: BootTime, partition: QuotaPartition) {
        self.holders[partition.index()].unreported_since = now;
        self.forget_ranks();
    }

    /// Has the ranks computed anew, since the partitions that this daemon holds have changed.
    pub(crate) fn forget_ranks(&mut self) {
        self.ranks.take();
    }

    /// Returns the live daemon that reported a partition last.
    pub(crate) fn holder(&self, partition: QuotaPartition) -> Option<SocketAddr> {
        self.holders[partition.index()].holder
    }

    /// Returns since when no live daemon has reported a partition that has no holder.
    pub(crate) fn unreported_since(&self, partition: QuotaPartition) -> BootTime {
        self.holders[partition.index()].unreported_since
    }

    /// Returns the partitions that no daemon is known to hold, if this one holds those with these bits.
    pub(crate) fn unheld(&self, own_bits: u32) -> impl Iterator<Item = QuotaPartition> {
        QuotaPartition::all().filter(move |partition| {
            self.holder(*partition).is_none() && own_bits & partition.bit() == 0
        })
    }

    /// Returns whether the process of an incarnation has ended, by a report that arrived after its row was read. An
    /// earlier report may be that of a process before it, whose clock was ahead.
    pub(crate) fn has_ended(
        &self,
        holder: SocketAddr,
        incarnation: u64,
        seen_at: BootTime,
    ) -> bool {
        let peer = self.peers.get(&holder);
        peer.is_some_and(|peer| peer.incarnation > incarnation && peer.reported_at >= seen_at)
    }

    /// Returns this daemon's rank among those that may claim a partition that nobody holds; it holds those with these
    /// bits.
    pub(crate) fn rank(
        &self,
        partition: QuotaPartition,
        own_address: SocketAddr,
        own_bits: u32,
    ) -> usize {
        let mut ranks = self.ranks.borrow_mut();
        let ranks = ranks.get_or_insert_with(|| self.compute_ranks(own_address, own_bits));
        ranks.get(&partition).copied().unwrap_or(usize::MAX)
    }

    fn compute_ranks(
        &self,
        own_address: SocketAddr,
        own_bits: u32,
    ) -> BTreeMap<QuotaPartition, usize> {
        let daemons = self.live.iter().map(|(address, zone)| {
            let bits = if *address == own_address {
                own_bits
            } else {
                self.peers.get(address).map_or(0, |peer| peer.partitions)
            };
            (*address, zone.clone(), bits)
        });
        let unheld: Vec<_> = self.unheld(own_bits).collect();
        let ranks = QuotaRanks::new(daemons).of(own_address, &unheld);
        unheld.into_iter().zip(ranks).collect()
    }
}
