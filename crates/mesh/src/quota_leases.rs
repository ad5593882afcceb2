use std::{collections::BTreeMap, net::SocketAddr, rc::Rc, time::Duration};

use crate::{
    BootTime, PartitionBuckets, QuotaAllowance, QuotaGrant, QuotaLeaseAction, QuotaLeaseCall,
    QuotaLeaseChange, QuotaLeaseEvent, QuotaLeaseFailure, QuotaLeaseRow, QuotaLeaseWrite,
    QuotaPartition, StoreEra, StoredQuotaLease, reported_holders::ReportedHolders,
};

/// How long a holder grants after it sent its last write that the store acknowledged.
const LEASE_DURATION: Duration = Duration::from_secs(30);

/// How long a row must not have changed before another daemon claims its partition. It is longer than the lease, since
/// the clocks of two machines may differ in rate.
const TAKEOVER_AFTER: Duration = Duration::from_secs(33);

/// The interval at which a holder renews its leases. Two renewals may fail before a lease ends.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(10);

/// How long no live daemon must have reported a partition before one claims it.
const UNREPORTED_BEFORE_CLAIM: Duration = Duration::from_secs(1);

/// How much later than the daemon before it in rank a daemon claims a partition.
const WAIT_PER_RANK: Duration = Duration::from_millis(700);

/// How many daemons read the rows while they wait for the end of a dead holder's lease.
const FIRST_RANKS: usize = 3;

/// How much later all other daemons do, after the first ones should have claimed the partition.
const WAIT_OF_LATER_RANKS: Duration = Duration::from_secs(40);

/// The time over which holders read the rows after the store came back from an older copy.
const ERA_READ_SPREAD: Duration = Duration::from_millis(300);

/// The first wait before a failed call is repeated; it doubles with each failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(120);

const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// The first era that the store can have; a missing row of a later one may have been lost.
const FIRST_ERA: StoreEra = StoreEra(1);

/// The leases of one daemon on quota partitions, by which at most one daemon grants from a partition at a time.
///
/// It makes at most one call to the store at a time. `docs/design/quotas.md` has the proof.
#[derive(Debug)]
pub struct QuotaLeases {
    /// The call whose result isn't known yet.
    call: Option<PendingCall>,
    era: StoreEra,
    events: Vec<QuotaLeaseEvent>,
    failure_count: u32,
    held: BTreeMap<QuotaPartition, HeldLease>,
    incarnation: u64,
    /// Whether the own row of daemons was written, so that the incarnation is known to be the latest one.
    is_started: bool,
    is_stopping: bool,
    /// Whether the rows have to be read before the next write.
    needs_read: bool,
    own_address: SocketAddr,
    /// When the last answered read of the present era was sent.
    read_sent_at: Option<BootTime>,
    /// The rows that a planned stop has to write as free.
    released: Vec<QuotaLeaseWrite>,
    reported: ReportedHolders,
    retry_at: BootTime,
    /// The rows of the present era, as they were last seen.
    rows: BTreeMap<QuotaPartition, SeenRow>,
}

#[derive(Debug)]
struct HeldLease {
    buckets: PartitionBuckets,
    /// Whether the row that the store has isn't one that this daemon wrote in the present era.
    is_row_outdated: bool,
    /// When the last acknowledged write was sent.
    renewed_at: BootTime,
    version: u64,
}

#[derive(Debug)]
struct PendingCall {
    action: QuotaLeaseAction,
    era: StoreEra,
    /// Whether the result says nothing any more, since the era or the incarnation was raised after the call was sent.
    is_void: bool,
    number: u64,
    sent_at: BootTime,
}

#[derive(Clone, Copy, Debug)]
struct SeenRow {
    content: SeenLease,
    /// When the row was first known to have this version.
    first_seen_at: BootTime,
    version: u64,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SeenLease {
    Invalid,
    Missing,
    Row(QuotaLeaseRow),
}

/// What is to be done next.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum NextWork {
    Claim,
    Read,
    Release,
    Renew,
}

impl QuotaLeases {
    /// Creates the leases of a daemon that holds nothing.
    #[must_use]
    pub fn new(now: BootTime, own_address: SocketAddr, incarnation: u64) -> Self {
        Self {
            call: None,
            era: StoreEra::default(),
            events: Vec::new(),
            failure_count: 0,
            held: BTreeMap::new(),
            incarnation,
            is_started: false,
            is_stopping: false,
            needs_read: false,
            own_address,
            read_sent_at: None,
            released: Vec::new(),
            reported: ReportedHolders::new(now),
            retry_at: now,
            rows: BTreeMap::new(),
        }
    }

    /// Records that the own row of daemons was written, after it was read. Nothing is claimed before: a process that
    /// doesn't know the incarnation of the earlier one would write rows that others take for those of an ended process.
    pub fn record_start(&mut self) {
        self.is_started = true;
    }

    /// Applies the own incarnation. A raised one ends all leases, since other daemons may claim the partitions of the
    /// lower one at once.
    pub fn set_incarnation(&mut self, now: BootTime, incarnation: u64) {
        if incarnation == self.incarnation {
            return;
        }
        self.incarnation = incarnation;
        self.void_call();
        let partitions: Vec<_> = self.held.keys().copied().collect();
        for partition in partitions {
            self.drop_lease(now, partition, QuotaLeaseChange::IncarnationRaised);
            self.needs_read = true;
        }
    }

    /// Applies the era of the store. After a rise all rows have to be read again, and holders do so at once.
    pub fn learn_era(&mut self, now: BootTime, era: StoreEra) {
        if era <= self.era {
            return;
        }
        let is_rise = self.era != StoreEra::default();
        self.era = era;
        self.void_call();
        self.rows.clear();
        self.read_sent_at = None;
        self.needs_read = !self.held.is_empty();
        if is_rise {
            let earliest = BootTime(now.0 + ERA_READ_SPREAD.mul_f64(fastrand::f64()));
            self.retry_at = self.retry_at.max(earliest);
        }
    }

    /// Applies another daemon's report: its incarnation and the bits of the partitions that it holds.
    pub fn receive_report(
        &mut self,
        now: BootTime,
        from: SocketAddr,
        incarnation: u64,
        partitions: u32,
    ) {
        self.reported
            .receive_report(now, from, incarnation, partitions);
    }

    /// Sets the other daemons that are alive, each with its availability zone and whether it serves, and forgets what
    /// the buckets needn't remember.
    pub fn tick(&mut self, now: BootTime, alive: &[(SocketAddr, Rc<str>, bool)]) {
        self.expire(now);
        self.reported.set_alive(now, alive);
        for lease in self.held.values_mut() {
            lease.buckets.tick(now);
        }
    }

    /// Applies the limits of a new configuration.
    pub fn set_allowances(&mut self, allowance: impl Fn(&str) -> Option<QuotaAllowance>) {
        for lease in self.held.values_mut() {
            lease.buckets.set_allowances(&allowance);
        }
    }

    /// Grants credits from a partition; none if this daemon doesn't hold it at this moment.
    pub fn grant(
        &mut self,
        now: BootTime,
        partition: QuotaPartition,
        account: &Rc<str>,
        allowance: QuotaAllowance,
        wanted: u32,
    ) -> Option<QuotaGrant> {
        let lease = self.held.get_mut(&partition)?;
        if !lease.is_valid(now) {
            return None;
        }
        Some(lease.buckets.grant(now, account, allowance, wanted))
    }

    /// Returns whether this daemon holds a partition.
    #[must_use]
    pub fn holds(&self, now: BootTime, partition: QuotaPartition) -> bool {
        let lease = self.held.get(&partition);
        lease.is_some_and(|lease| lease.is_valid(now))
    }

    /// Returns the bits of the partitions that this daemon holds.
    #[must_use]
    pub fn held_bits(&self, now: BootTime) -> u32 {
        let held = self.held.iter().filter(|(_, lease)| lease.is_valid(now));
        held.fold(0, |bits, (partition, _)| bits | partition.bit())
    }

    /// Returns the daemon that holds a partition, as far as this daemon knows.
    #[must_use]
    pub fn believed_holder(&self, now: BootTime, partition: QuotaPartition) -> Option<SocketAddr> {
        if self.holds(now, partition) {
            return Some(self.own_address);
        }
        self.reported.holder(partition)
    }

    /// Returns the age of the oldest lease's last renewal; none without a lease.
    #[must_use]
    pub fn renewal_age(&self, now: BootTime) -> Option<Duration> {
        let renewals = self.held.values().map(|lease| lease.renewed_at);
        renewals.min().map(|at| now.saturating_since(at))
    }

    /// Returns the number of buckets.
    #[must_use]
    pub fn bucket_count(&self) -> usize {
        let held = self.held.values();
        held.map(|lease| lease.buckets.bucket_count()).sum()
    }

    /// Returns the changes of leases since the last call.
    pub fn take_events(&mut self) -> Vec<QuotaLeaseEvent> {
        std::mem::take(&mut self.events)
    }

    /// Stops granting at once for a planned stop; the rows are then written as free.
    pub fn stop(&mut self, now: BootTime) {
        self.is_stopping = true;
        let released = self.held.iter().map(|(partition, lease)| QuotaLeaseWrite {
            expected_version: lease.version,
            is_claim: false,
            partition: *partition,
            row: self.free_row(),
        });
        self.released = released.collect();
        if self.needs_read {
            // The rows' versions aren't known. Others take the partitions over when they see the process end.
            self.released.clear();
        }
        let partitions: Vec<_> = self.held.keys().copied().collect();
        for partition in partitions {
            self.drop_lease(now, partition, QuotaLeaseChange::Released);
        }
    }

    /// Returns whether a planned stop has nothing more to write.
    #[must_use]
    pub fn is_released(&self) -> bool {
        self.released.is_empty() && self.call.is_none()
    }

    /// Returns the call to the store that has to be made now, if any.
    pub fn next_call(&mut self, now: BootTime) -> Option<QuotaLeaseCall> {
        self.expire(now);
        let (_, work) = self.next_work().filter(|(at, _)| *at <= now)?;
        let action = match work {
            NextWork::Claim => QuotaLeaseAction::Write(self.claims(now)),
            NextWork::Read => QuotaLeaseAction::Read,
            NextWork::Release => QuotaLeaseAction::Write(self.released.clone()),
            NextWork::Renew => QuotaLeaseAction::Write(self.renewals()),
        };
        // Drawn at random, so that the result of a call of earlier leases isn't taken for one of these.
        let number = fastrand::u64(..);
        self.call = Some(PendingCall {
            action: action.clone(),
            era: self.era,
            is_void: false,
            number,
            sent_at: now,
        });
        Some(QuotaLeaseCall { action, number })
    }

    /// Returns when `next_call` has to be called again, or a lease ends; none if only a result or a report can change
    /// anything.
    #[must_use]
    pub fn next_due(&self) -> Option<BootTime> {
        let ends = self
            .held
            .values()
            .map(|lease| BootTime(lease.renewed_at.0 + LEASE_DURATION));
        let work = self.next_work().map(|(at, _)| at);
        ends.min().into_iter().chain(work).min()
    }

    /// Applies the rows that a read returned in an era of the store.
    pub fn receive_rows(
        &mut self,
        now: BootTime,
        number: u64,
        era: StoreEra,
        stored: &[StoredQuotaLease],
    ) {
        let Some(call) = self.take_call(now, number, era) else {
            return;
        };
        self.record_success();
        self.needs_read = false;
        self.read_sent_at = Some(call.sent_at);
        self.expire(now);
        for partition in QuotaPartition::all() {
            let found = stored.iter().find(|row| row.partition == partition);
            let (version, content) = found.map_or((0, SeenLease::Missing), |found| {
                let content = found.row.map_or(SeenLease::Invalid, SeenLease::Row);
                (found.version, content)
            });
            self.see_row(now, partition, version, content);
            self.compare_lease(now, partition, version, content);
        }
    }

    /// Records that the store performed a write in an era, in a transaction with this number.
    pub fn receive_written(&mut self, now: BootTime, number: u64, era: StoreEra, version: u64) {
        let Some(call) = self.take_call(now, number, era) else {
            return;
        };
        self.record_success();
        let QuotaLeaseAction::Write(writes) = call.action else {
            return;
        };
        for write in writes {
            self.see_row(now, write.partition, version, SeenLease::Row(write.row));
            self.apply_write(now, call.sent_at, &write, version);
        }
        self.expire(now);
    }

    /// Records that a call failed.
    pub fn receive_failure(&mut self, now: BootTime, number: u64, failure: QuotaLeaseFailure) {
        let Some(call) = self.call.take_if(|call| call.number == number) else {
            return;
        };
        let backoff = INITIAL_BACKOFF
            .saturating_mul(1 << self.failure_count.min(6))
            .min(MAX_BACKOFF);
        self.failure_count += 1;
        self.retry_at = BootTime(now.0 + backoff.mul_f64(0.5 + fastrand::f64() * 0.5));
        if failure == QuotaLeaseFailure::Unknown && call.action != QuotaLeaseAction::Read {
            self.needs_read = true;
            self.released.clear();
        }
    }

    /// Gives up a call whose result isn't going to be reported.
    pub fn abandon_call(&mut self, now: BootTime) {
        if let Some(number) = self.call.as_ref().map(|call| call.number) {
            self.receive_failure(now, number, QuotaLeaseFailure::Unknown);
        }
    }

    /// Returns the call with this number if its result still says something; otherwise the rows have to be read.
    fn take_call(&mut self, now: BootTime, number: u64, era: StoreEra) -> Option<PendingCall> {
        self.learn_era(now, era);
        let call = self.call.take_if(|call| call.number == number)?;
        if call.is_void || call.era != era {
            self.needs_read |= call.action != QuotaLeaseAction::Read;
            self.released.clear();
            return None;
        }
        Some(call)
    }

    fn void_call(&mut self) {
        if let Some(call) = &mut self.call {
            call.is_void = true;
        }
    }

    fn record_success(&mut self) {
        self.failure_count = 0;
        self.retry_at = BootTime::default();
    }

    fn see_row(
        &mut self,
        now: BootTime,
        partition: QuotaPartition,
        version: u64,
        content: SeenLease,
    ) {
        let known = self.rows.get(&partition);
        if known.is_none_or(|known| known.version != version) {
            let row = SeenRow {
                content,
                first_seen_at: now,
                version,
            };
            self.rows.insert(partition, row);
        }
    }

    /// Compares a lease of this daemon with the row that was read.
    fn compare_lease(
        &mut self,
        now: BootTime,
        partition: QuotaPartition,
        version: u64,
        content: SeenLease,
    ) {
        let (era, own_address) = (self.era, self.own_address);
        let Some(lease) = self.held.get_mut(&partition) else {
            return;
        };
        let is_lost = match content {
            SeenLease::Invalid => true,
            SeenLease::Missing => false,
            SeenLease::Row(row) => row.holder != Some(own_address) && row.era >= era,
        };
        if is_lost {
            self.drop_lease(now, partition, QuotaLeaseChange::Lost);
            return;
        }
        lease.version = version;
        lease.is_row_outdated = match content {
            SeenLease::Invalid | SeenLease::Missing => true,
            SeenLease::Row(row) => row.era != era || row.holder != Some(own_address),
        };
    }

    /// Applies a write that the store performed.
    fn apply_write(
        &mut self,
        now: BootTime,
        sent_at: BootTime,
        write: &QuotaLeaseWrite,
        version: u64,
    ) {
        let partition = write.partition;
        if self.is_stopping {
            let released = self
                .released
                .iter_mut()
                .find(|other| other.partition == partition);
            match released {
                Some(_) if write.row.holder.is_none() => {
                    self.released.retain(|other| other.partition != partition);
                }
                Some(other) => other.expected_version = version,
                None if write.row.holder.is_some() => self.released.push(QuotaLeaseWrite {
                    expected_version: version,
                    is_claim: false,
                    partition,
                    row: self.free_row(),
                }),
                None => {}
            }
            return;
        }
        if let Some(lease) = self.held.get_mut(&partition) {
            lease.is_row_outdated = false;
            lease.renewed_at = lease.renewed_at.max(sent_at);
            lease.version = version;
        } else if write.is_claim {
            let lease = HeldLease {
                // The buckets are empty now. The previous holder's lease ended before the claim was sent.
                buckets: PartitionBuckets::new(now),
                is_row_outdated: false,
                renewed_at: sent_at,
                version,
            };
            if lease.is_valid(now) {
                self.held.insert(partition, lease);
                self.reported.forget_ranks();
                self.record_event(partition, QuotaLeaseChange::Claimed);
            }
        }
    }

    /// Ends the leases that were not renewed in time. Their rows still name this daemon, which may claim them again.
    fn expire(&mut self, now: BootTime) {
        let expired: Vec<_> = self
            .held
            .iter()
            .filter(|(_, lease)| !lease.is_valid(now))
            .map(|(partition, _)| *partition)
            .collect();
        for partition in expired {
            self.drop_lease(now, partition, QuotaLeaseChange::Expired);
            self.needs_read = true;
        }
    }

    fn drop_lease(&mut self, now: BootTime, partition: QuotaPartition, change: QuotaLeaseChange) {
        if self.held.remove(&partition).is_some() {
            self.reported.record_own_loss(now, partition);
            self.record_event(partition, change);
        }
    }

    fn record_event(&mut self, partition: QuotaPartition, change: QuotaLeaseChange) {
        self.events.push(QuotaLeaseEvent { change, partition });
    }

    /// Returns the next thing to do and when, while no call is under way.
    fn next_work(&self) -> Option<(BootTime, NextWork)> {
        if self.call.is_some() || !self.is_started {
            return None;
        }
        let work = if self.is_stopping {
            let is_due = !self.released.is_empty();
            is_due.then_some((BootTime::default(), NextWork::Release))
        } else if self.needs_read {
            Some((BootTime::default(), NextWork::Read))
        } else {
            let renewal = self.renewal_at().map(|at| (at, NextWork::Renew));
            let claims = self
                .unheld()
                .filter_map(|partition| self.claim_work(partition));
            renewal.into_iter().chain(claims).min()
        };
        work.map(|(at, work)| (at.max(self.retry_at), work))
    }

    fn renewal_at(&self) -> Option<BootTime> {
        let renewals = self.held.values().map(|lease| {
            if lease.is_row_outdated {
                BootTime::default()
            } else {
                BootTime(lease.renewed_at.0 + RENEWAL_INTERVAL)
            }
        });
        renewals.min()
    }

    /// Returns the partitions that no daemon is known to hold.
    fn unheld(&self) -> impl Iterator<Item = QuotaPartition> {
        self.reported.unheld(self.own_bits())
    }

    /// Returns the bits of the partitions whose leases this daemon keeps.
    fn own_bits(&self) -> u32 {
        let held = self.held.keys();
        held.fold(0, |bits, partition| bits | partition.bit())
    }

    /// Returns when this daemon has to read the row of a partition that nobody is known to hold, or to claim it.
    fn claim_work(&self, partition: QuotaPartition) -> Option<(BootTime, NextWork)> {
        let Some(read_sent_at) = self.read_sent_at else {
            // A daemon that starts may find rows that name its own address.
            return Some((BootTime::default(), NextWork::Read));
        };
        let seen = self.rows.get(&partition)?;
        if self.names_this_daemon(seen) {
            return Some((seen.first_seen_at, NextWork::Claim));
        }
        let unreported_since = self.reported.unreported_since(partition);
        let rank = self
            .reported
            .rank(partition, self.own_address, self.own_bits());
        let rank_wait = WAIT_PER_RANK.saturating_mul(u32::try_from(rank).unwrap_or(u32::MAX));
        let later_wait = if rank < FIRST_RANKS {
            Duration::ZERO
        } else {
            WAIT_OF_LATER_RANKS
        };
        let wait = UNREPORTED_BEFORE_CLAIM + rank_wait + later_wait;
        let due_at = BootTime(unreported_since.0 + wait);
        if read_sent_at < unreported_since {
            return Some((due_at, NextWork::Read));
        }
        Some((due_at.max(self.claimable_at(seen)), NextWork::Claim))
    }

    fn names_this_daemon(&self, seen: &SeenRow) -> bool {
        matches!(seen.content, SeenLease::Row(row)
            if row.era == self.era && row.holder == Some(self.own_address))
    }

    /// Returns from when on a row may be claimed under its version.
    fn claimable_at(&self, seen: &SeenRow) -> BootTime {
        let at_once = match seen.content {
            SeenLease::Invalid => false,
            SeenLease::Missing => self.era <= FIRST_ERA,
            // The row may have been overwritten by a write of the earlier era, whatever it says.
            SeenLease::Row(row) if row.era != self.era => false,
            SeenLease::Row(row) => row.holder.is_none_or(|holder| {
                let seen_at = seen.first_seen_at;
                self.reported.has_ended(holder, row.incarnation, seen_at)
            }),
        };
        if at_once {
            seen.first_seen_at
        } else {
            BootTime(seen.first_seen_at.0 + TAKEOVER_AFTER)
        }
    }

    fn claims(&self, now: BootTime) -> Vec<QuotaLeaseWrite> {
        let is_due = |partition: &QuotaPartition| {
            let work = self.claim_work(*partition);
            work.is_some_and(|(at, work)| work == NextWork::Claim && at <= now)
        };
        let due = self.unheld().filter(is_due);
        due.filter_map(|partition| {
            let seen = self.rows.get(&partition)?;
            Some(QuotaLeaseWrite {
                expected_version: seen.version,
                is_claim: true,
                partition,
                row: self.own_row(),
            })
        })
        .collect()
    }

    fn renewals(&self) -> Vec<QuotaLeaseWrite> {
        let held = self.held.iter();
        held.map(|(partition, lease)| QuotaLeaseWrite {
            expected_version: lease.version,
            is_claim: false,
            partition: *partition,
            row: self.own_row(),
        })
        .collect()
    }

    fn own_row(&self) -> QuotaLeaseRow {
        QuotaLeaseRow {
            era: self.era,
            holder: Some(self.own_address),
            incarnation: self.incarnation,
        }
    }

    fn free_row(&self) -> QuotaLeaseRow {
        QuotaLeaseRow {
            holder: None,
            ..self.own_row()
        }
    }
}

impl HeldLease {
    /// Returns whether the lease permits grants at this moment.
    fn is_valid(&self, now: BootTime) -> bool {
        now.saturating_since(self.renewed_at) < LEASE_DURATION
    }
}
