use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use fastrand::Rng;
use medlarspool_types::{AvailabilityZone, ConfigHead, InstanceId, Region};

use crate::{LinkClass, SpreadPeer};

/// One in this many digests goes to another region.
const DIGESTS_PER_REGION_DIGEST: usize = 8;
/// One in this many of the other digests goes to another availability zone of the region.
const DIGESTS_PER_ZONE_DIGEST: usize = 4;

/// A peer and the newest head that it announced.
#[derive(Debug)]
struct KnownPeer {
    head: ConfigHead,
    peer: SpreadPeer,
}

/// The daemons believed alive, grouped by availability zone and region, with the heads they announced.
///
/// `index` maps an instance to its position in `peers`; the groups hold such positions.
#[derive(Debug)]
pub(crate) struct PeerTable {
    index: HashMap<InstanceId, usize>,
    local: SpreadPeer,
    other_regions: Vec<Vec<usize>>,
    other_zones: Vec<Vec<usize>>,
    peers: Vec<KnownPeer>,
    same_zone: Vec<usize>,
}

impl PeerTable {
    pub(crate) fn new(local: SpreadPeer) -> Self {
        Self {
            index: HashMap::new(),
            local,
            other_regions: Vec::new(),
            other_zones: Vec::new(),
            peers: Vec::new(),
            same_zone: Vec::new(),
        }
    }

    /// Replaces the peers and keeps the heads of those that remain.
    pub(crate) fn replace(&mut self, peers: Vec<SpreadPeer>) {
        let known: Vec<KnownPeer> = peers
            .into_iter()
            .filter(|peer| peer.instance != self.local.instance)
            .map(|peer| KnownPeer {
                head: self.head_of(&peer.instance).unwrap_or_default(),
                peer,
            })
            .collect();
        self.peers = known;
        self.index = self
            .peers
            .iter()
            .enumerate()
            .map(|(position, known)| (known.peer.instance.clone(), position))
            .collect();
        self.rebuild_groups();
    }

    /// Rebuilds the groups: peers of the own zone, of each other zone of the region, of each other region.
    fn rebuild_groups(&mut self) {
        let mut regions: BTreeMap<Region, Vec<usize>> = BTreeMap::new();
        let mut zones: BTreeMap<AvailabilityZone, Vec<usize>> = BTreeMap::new();
        self.same_zone.clear();
        for (position, KnownPeer { peer, .. }) in self.peers.iter().enumerate() {
            match LinkClass::between(&self.local, peer) {
                LinkClass::BetweenRegions => {
                    regions
                        .entry(peer.region.clone())
                        .or_default()
                        .push(position);
                }
                LinkClass::BetweenZones => {
                    let zone = peer.availability_zone.clone();
                    zones.entry(zone).or_default().push(position);
                }
                LinkClass::SameZone | LinkClass::Store => self.same_zone.push(position),
            }
        }
        self.other_regions = regions.into_values().collect();
        self.other_zones = zones.into_values().collect();
    }

    /// Returns the number of peers.
    pub(crate) fn len(&self) -> usize {
        self.peers.len()
    }

    pub(crate) fn get(&self, instance: &InstanceId) -> Option<&SpreadPeer> {
        Some(&self.peers[*self.index.get(instance)?].peer)
    }

    /// Returns the class of the link to an instance; an unknown one counts as in another zone of the region.
    pub(crate) fn link_to(&self, instance: &InstanceId) -> LinkClass {
        self.get(instance).map_or(LinkClass::BetweenZones, |peer| {
            LinkClass::between(&self.local, peer)
        })
    }

    fn head_of(&self, instance: &InstanceId) -> Option<ConfigHead> {
        Some(self.peers[*self.index.get(instance)?].head)
    }

    /// Records the head that a peer announced; an older one that arrives out of order is ignored.
    pub(crate) fn record_head(&mut self, instance: &InstanceId, head: ConfigHead) {
        if let Some(position) = self.index.get(instance) {
            let known = &mut self.peers[*position];
            if head.version > known.head.version {
                known.head = head;
            }
        }
    }

    /// Forgets the head that a peer announced, because it failed to send its lists.
    pub(crate) fn forget_head(&mut self, instance: &InstanceId) {
        if let Some(position) = self.index.get(instance) {
            self.peers[*position].head = ConfigHead::default();
        }
    }

    /// Returns the newest head that peers of each availability zone announced to this process.
    pub(crate) fn heads_by_zone(&self) -> BTreeMap<AvailabilityZone, ConfigHead> {
        let mut heads = BTreeMap::new();
        for known in &self.peers {
            if known.head != ConfigHead::default() {
                let zone = known.peer.availability_zone.clone();
                let highest: &mut ConfigHead = heads.entry(zone).or_default();
                *highest = known.head.max(*highest);
            }
        }
        heads
    }

    /// Returns the number of availability zones with a daemon, this daemon's own included.
    pub(crate) fn zone_count(&self) -> usize {
        let zones: BTreeSet<&AvailabilityZone> = self
            .peers
            .iter()
            .map(|known| &known.peer.availability_zone)
            .chain([&self.local.availability_zone])
            .collect();
        zones.len()
    }

    /// Returns a random peer that announced at least this version, from the nearest class of link that
    /// has one.
    pub(crate) fn pick_holder(&self, head: ConfigHead, random: &mut Rng) -> Option<&SpreadPeer> {
        let holders: Vec<(LinkClass, &SpreadPeer)> = self
            .peers
            .iter()
            .filter(|known| known.head.version >= head.version)
            .map(|known| (LinkClass::between(&self.local, &known.peer), &known.peer))
            .collect();
        let nearest = holders.iter().map(|(link, _)| *link).max()?;
        let nearest_holders: Vec<&SpreadPeer> = holders
            .into_iter()
            .filter(|(link, _)| *link == nearest)
            .map(|(_, peer)| peer)
            .collect();
        Some(nearest_holders[random.usize(..nearest_holders.len())])
    }

    /// Returns a random peer to send a digest to, mostly in the own availability zone.
    pub(crate) fn pick_digest_peer(&self, random: &mut Rng) -> Option<&SpreadPeer> {
        let regions = self.other_regions.concat();
        let zones = self.other_zones.concat();
        let groups = if random.usize(..DIGESTS_PER_REGION_DIGEST) == 0 {
            [&regions, &zones, &self.same_zone]
        } else if random.usize(..DIGESTS_PER_ZONE_DIGEST) == 0 {
            [&zones, &self.same_zone, &regions]
        } else {
            [&self.same_zone, &zones, &regions]
        };
        let group = groups.into_iter().find(|group| !group.is_empty())?;
        let position = group[random.usize(..group.len())];
        Some(&self.peers[position].peer)
    }

    /// Returns one random peer of the own zone, of each other zone of the region, and of each other region.
    pub(crate) fn pick_one_per_group(&self, random: &mut Rng) -> Vec<&SpreadPeer> {
        [&self.same_zone]
            .into_iter()
            .chain(&self.other_zones)
            .chain(&self.other_regions)
            .filter(|group| !group.is_empty())
            .map(|group| &self.peers[group[random.usize(..group.len())]].peer)
            .collect()
    }

    /// Returns up to `count` random peers of the own zone that haven't announced this version or a newer one.
    pub(crate) fn behind_in_own_zone(
        &self,
        head: ConfigHead,
        count: usize,
        random: &mut Rng,
    ) -> Vec<&SpreadPeer> {
        self.pick_behind(&self.same_zone, head, count, random)
    }

    /// Returns up to `count` random peers of each other zone of the region that haven't announced this
    /// version or a newer one.
    pub(crate) fn behind_in_other_zones(
        &self,
        head: ConfigHead,
        count: usize,
        random: &mut Rng,
    ) -> Vec<&SpreadPeer> {
        self.other_zones
            .iter()
            .flat_map(|group| self.pick_behind(group, head, count, random))
            .collect()
    }

    /// Returns up to `count` random peers of each other region that haven't announced this version or a newer
    /// one.
    pub(crate) fn behind_in_other_regions(
        &self,
        head: ConfigHead,
        count: usize,
        random: &mut Rng,
    ) -> Vec<&SpreadPeer> {
        self.other_regions
            .iter()
            .flat_map(|group| self.pick_behind(group, head, count, random))
            .collect()
    }

    /// Draws peers of a group until `count` of them haven't announced this version or a newer one, or all
    /// were drawn.
    fn pick_behind(
        &self,
        group: &[usize],
        head: ConfigHead,
        count: usize,
        random: &mut Rng,
    ) -> Vec<&SpreadPeer> {
        let mut chosen = Vec::with_capacity(count);
        let mut drawn = HashSet::new();
        while chosen.len() < count && drawn.len() < group.len() {
            let position = group[random.usize(..group.len())];
            if drawn.insert(position) && self.peers[position].head.version < head.version {
                chosen.push(&self.peers[position].peer);
            }
        }
        chosen
    }
}
