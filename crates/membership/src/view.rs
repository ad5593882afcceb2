use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use medlarspool_types::{Address, AvailabilityZone, InstanceId};

use crate::{
    Accusation, AccusationKind, Announcement, BucketSet, MemberState, MemberUpdate, ServiceKey,
    living_list::LivingList, record::Record, service_key::fold_hash,
};

/// The maximum number of random draws per requested member, so that drawing from few members
/// terminates.
const DRAWS_PER_MEMBER: usize = 8;

/// The records of all members, including this daemon, in buckets whose digests are kept current.
#[derive(Debug)]
pub(crate) struct View {
    /// The living members, by the address at which they receive datagrams.
    addresses: BTreeMap<Address, InstanceId>,
    buckets: Vec<BTreeMap<InstanceId, Record>>,
    /// The digest of each bucket, with the same index: the XOR of its records' hashes.
    digests: Vec<u64>,
    living: LivingList,
    /// The instances that announced each service, including dead ones.
    services: BTreeMap<ServiceKey, Vec<InstanceId>>,
    /// The number of living members of each availability zone.
    living_per_zone: BTreeMap<AvailabilityZone, usize>,
}

impl View {
    pub(crate) fn new() -> Self {
        Self {
            addresses: BTreeMap::new(),
            buckets: vec![BTreeMap::new(); BucketSet::COUNT],
            digests: vec![0; BucketSet::COUNT],
            living: LivingList::default(),
            services: BTreeMap::new(),
            living_per_zone: BTreeMap::new(),
        }
    }

    /// Returns the living member that receives datagrams at an address.
    pub(crate) fn living_at(&self, address: &Address) -> Option<&InstanceId> {
        self.addresses.get(address)
    }

    pub(crate) fn bucket(&self, bucket: u8) -> impl Iterator<Item = &Record> {
        self.buckets[usize::from(bucket)].values()
    }

    /// Returns the digest of each bucket, folded to the 32 bits that are sent.
    pub(crate) fn bucket_digests(&self) -> Vec<u32> {
        self.digests.iter().copied().map(fold_hash).collect()
    }

    /// Removes the records of members that are dead or have left and have not changed for `retention`.
    pub(crate) fn remove_expired(&mut self, now: Instant, retention: Duration) {
        let is_expired = |record: &Record| {
            let age = now.saturating_duration_since(record.changed_at);
            !record.state().is_living() && age >= retention
        };
        for bucket in 0..BucketSet::COUNT {
            let expired: Vec<_> = self.buckets[bucket]
                .extract_if(.., |_, record| is_expired(record))
                .collect();
            for (_, record) in expired {
                self.remove_from_indexes(&record);
            }
        }
    }

    pub(crate) fn get(&self, instance: &InstanceId) -> Option<&Record> {
        self.buckets[usize::from(BucketSet::bucket_of(instance))].get(instance)
    }

    /// Returns the number of living members, including this daemon.
    pub(crate) fn living_count(&self) -> usize {
        self.living.instances().len()
    }

    pub(crate) fn living_instances(&self) -> &[InstanceId] {
        self.living.instances()
    }

    /// Draws up to `count` different living members at random, other than those excluded.
    pub(crate) fn draw_living(
        &self,
        count: usize,
        excluded: &[&InstanceId],
        random: &mut fastrand::Rng,
    ) -> Vec<&Record> {
        let mut drawn: Vec<&InstanceId> = Vec::with_capacity(count);
        for _ in 0..count * DRAWS_PER_MEMBER {
            if drawn.len() == count {
                break;
            }
            if let Some(instance) = self.living.draw(random)
                && !excluded.contains(&instance)
                && !drawn.contains(&instance)
            {
                drawn.push(instance);
            }
        }
        drawn
            .into_iter()
            .filter_map(|instance| self.get(instance))
            .collect()
    }

    pub(crate) fn living_count_in(&self, zone: &AvailabilityZone) -> usize {
        self.living_per_zone.get(zone).copied().unwrap_or_default()
    }

    pub(crate) fn records(&self) -> impl Iterator<Item = &Record> {
        self.buckets.iter().flat_map(BTreeMap::values)
    }

    /// Returns the digest of all living members' announcements, which does not depend on their order.
    pub(crate) fn root(&self) -> u64 {
        self.digests.iter().fold(0, |root, digest| root ^ digest)
    }

    /// Replaces a member's announcement, and clears an accusation against an older incarnation.
    pub(crate) fn put(&mut self, announcement: Announcement, now: Instant) {
        let instance = announcement.member.instance.clone();
        let mut record = Record::new(announcement, now);
        if let Some(stored) = self.get(&instance)
            && stored.announcement.member.incarnation == record.announcement.member.incarnation
        {
            record.accusation_kind = stored.accusation_kind;
        }
        self.replace(&instance, record);
    }

    /// Records an accusation against a member's current incarnation in this view.
    pub(crate) fn accuse(&mut self, instance: &InstanceId, kind: AccusationKind, now: Instant) {
        let Some(stored) = self.get(instance) else {
            return;
        };
        let mut record = stored.clone();
        record.accusation_kind = Some(kind);
        record.changed_at = now;
        self.replace(instance, record);
    }

    /// Returns the instances that announced a service, including dead ones.
    pub(crate) fn service_instances(&self, service: ServiceKey) -> &[InstanceId] {
        self.services.get(&service).map_or(&[], Vec::as_slice)
    }

    pub(crate) fn state(&self, instance: &InstanceId) -> Option<MemberState> {
        self.get(instance).map(Record::state)
    }

    /// Returns the accusation against a member, if any, with `accuser` as its accuser.
    pub(crate) fn accusation(&self, instance: &InstanceId, accuser: u32) -> Option<MemberUpdate> {
        let record = self.get(instance)?;
        record.accusation_kind.map(|kind| {
            MemberUpdate::Accusation(Accusation {
                accuser,
                incarnation: record.announcement.member.incarnation,
                instance: instance.clone(),
                kind,
            })
        })
    }

    /// Returns the newest announcement of a member.
    pub(crate) fn announcement(&self, instance: &InstanceId) -> Option<MemberUpdate> {
        self.get(instance)
            .map(|record| MemberUpdate::Announcement(record.announcement.clone()))
    }

    fn add_to_indexes(&mut self, record: &Record) {
        let member = &record.announcement.member;
        let bucket = usize::from(BucketSet::bucket_of(&member.instance));
        self.digests[bucket] ^= record.hash();
        let living_in_zone = self
            .living_per_zone
            .entry(member.availability_zone.clone())
            .or_default();
        if record.state().is_living() {
            self.living.insert(&member.instance);
            *living_in_zone += 1;
            self.addresses
                .insert(member.control_address, member.instance.clone());
        }
        if let Some(service) = record.announcement.service {
            let instances = self.services.entry(service).or_default();
            instances.push(member.instance.clone());
        }
    }

    fn remove_from_indexes(&mut self, record: &Record) {
        let member = &record.announcement.member;
        let bucket = usize::from(BucketSet::bucket_of(&member.instance));
        self.digests[bucket] ^= record.hash();
        if record.state().is_living() {
            self.living.remove(&member.instance);
            if let Some(living_in_zone) = self.living_per_zone.get_mut(&member.availability_zone) {
                *living_in_zone -= 1;
            }
            if self.addresses.get(&member.control_address) == Some(&member.instance) {
                self.addresses.remove(&member.control_address);
            }
        }
        if let Some(service) = record.announcement.service
            && let Some(instances) = self.services.get_mut(&service)
        {
            instances.retain(|instance| *instance != member.instance);
        }
    }

    fn replace(&mut self, instance: &InstanceId, record: Record) {
        let bucket = usize::from(BucketSet::bucket_of(instance));
        if let Some(old) = self.buckets[bucket].remove(instance) {
            self.remove_from_indexes(&old);
        }
        self.add_to_indexes(&record);
        self.buckets[bucket].insert(instance.clone(), record);
    }
}
