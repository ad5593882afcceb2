use std::time::{Instant, SystemTime};

use medlarspool_types::AvailabilityZone;

use crate::{MemberState, Membership, MembershipAction, Message, SeedRow};

/// On average one in this many reads covers all availability zones, so that the sides of a
/// partition find each other.
const READS_PER_FULL_READ: u32 = 2;

/// The reads after which a daemon that knows no other member may write a row into an empty slot or
/// over an expired row.
const READS_BEFORE_WRITE: u32 = 2;

/// The reads after which a daemon that knows no other member may overwrite valid rows, because none
/// of their daemons answered.
const READS_BEFORE_OVERWRITE: u32 = 4;

/// The reads after which every daemon that knows no other member writes a row. Before, it writes
/// with a lower probability, so that daemons that start at the same time do not all compete for the
/// same slots.
const READS_BEFORE_CERTAIN_WRITE: u32 = 4;

impl Membership {
    /// Requests the seed rows when a read is due, and schedules the next read. The first read that is due
    /// after this daemon learned of other members is skipped.
    pub(crate) fn advance_seeds(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        if now < self.seeds.next_read {
            return;
        }
        if self.is_alone() {
            self.seeds.schedule_alone(now, &mut self.random);
            let reads_all = self.seeds.reads_while_alone > 1;
            let own_zone = self.me.member.availability_zone.clone();
            self.read_seed_rows((!reads_all).then_some(own_zone), actions);
            return;
        }
        let has_just_joined = self.seeds.reads_while_alone > 0;
        let readers = self.view.living_count_in(&self.me.member.availability_zone);
        let interval = self.settings.seed_read_interval;
        self.seeds
            .schedule_shared(now, interval, readers, &mut self.random);
        if !has_just_joined {
            let is_full_read = self.random.u32(..READS_PER_FULL_READ) == 0;
            let own_zone = self.me.member.availability_zone.clone();
            self.read_seed_rows((!is_full_read).then_some(own_zone), actions);
        }
    }

    /// Contacts the daemons of the rows that are not living members of this view, and writes a row of its
    /// own availability zone if it may.
    ///
    /// A daemon that knows no other living member joins through all of them. Any other daemon compares
    /// views only with those whose rows have not expired.
    pub(crate) fn apply_seed_rows(
        &mut self,
        now: Instant,
        zone: Option<&AvailabilityZone>,
        rows: &[SeedRow],
        system_now: SystemTime,
        actions: &mut Vec<MembershipAction>,
    ) {
        let unknown_rows: Vec<&SeedRow> = rows
            .iter()
            .filter(|row| self.names_unknown_member(row))
            .collect();
        if self.is_alone() {
            let contacts = unknown_rows.iter().map(|row| row.control_address);
            self.repair.join(contacts.collect(), now);
        } else {
            for row in unknown_rows.iter().filter(|row| row.expires > system_now) {
                let root = self.view.root();
                self.send(
                    row.control_address,
                    Message::DigestRequest { root },
                    actions,
                );
            }
        }
        let own_zone = &self.me.member.availability_zone;
        if zone.is_none_or(|zone| zone == own_zone) && self.may_write() {
            self.write_seed_row(rows, system_now, actions);
        }
    }

    fn is_alone(&self) -> bool {
        self.view.living_count() == 1
    }

    /// Returns whether a row names another daemon that is not a living member of this view.
    fn names_unknown_member(&self, row: &SeedRow) -> bool {
        let is_living = self
            .view
            .state(&row.instance)
            .is_some_and(MemberState::is_living);
        !is_living && row.control_address != self.me.member.control_address
    }

    /// Returns whether this daemon may write a row, if one is replaceable. While it knows no other living
    /// member, this is drawn at random, with a probability that rises with the number of its reads.
    fn may_write(&mut self) -> bool {
        if !self.is_alone() {
            return true;
        }
        let read_count = self.seeds.reads_while_alone.min(READS_BEFORE_CERTAIN_WRITE);
        let one_in = 1 << (READS_BEFORE_CERTAIN_WRITE - read_count);
        read_count >= READS_BEFORE_WRITE && self.random.u32(..one_in) == 0
    }

    /// Returns whether this daemon may renew a row or replace it with its own: the row expires soon, its
    /// daemon is dead or has left, or no daemon of the rows answered after several reads.
    fn is_replaceable(&self, row: &SeedRow, system_now: SystemTime) -> bool {
        let renewal = self.settings.seed_lease / 3;
        let is_expiring = row.expires < system_now + renewal;
        let ignores_lease =
            self.is_alone() && self.seeds.reads_while_alone >= READS_BEFORE_OVERWRITE;
        let is_gone = matches!(
            self.view.state(&row.instance),
            Some(MemberState::Dead | MemberState::Left)
        );
        is_expiring || is_gone || ignores_lease
    }

    fn read_seed_rows(
        &mut self,
        availability_zone: Option<AvailabilityZone>,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.counters.seed_reads += 1;
        actions.push(MembershipAction::ReadSeedRows { availability_zone });
    }

    /// Renews this daemon's row if that is replaceable. If it has none, writes one into a random slot that
    /// is empty or whose row is replaceable.
    fn write_seed_row(
        &mut self,
        rows: &[SeedRow],
        system_now: SystemTime,
        actions: &mut Vec<MembershipAction>,
    ) {
        let me = &self.me.member;
        let is_in_own_zone = |row: &&SeedRow| row.availability_zone == me.availability_zone;
        let rows: Vec<&SeedRow> = rows.iter().filter(is_in_own_zone).collect();
        let own_row = rows.iter().find(|row| row.instance == me.instance);
        let row_in_slot = |slot: u8| rows.iter().copied().find(|row| row.slot == slot);
        let replaceable: Vec<u8> = (0..self.settings.seed_slot_count)
            .filter(|slot| {
                row_in_slot(*slot).is_none_or(|row| self.is_replaceable(row, system_now))
            })
            .collect();
        let slot = match own_row {
            Some(row) => replaceable.contains(&row.slot).then_some(row.slot),
            None => self.random.choice(&replaceable).copied(),
        };
        let Some(slot) = slot else {
            return;
        };
        let row = SeedRow {
            availability_zone: me.availability_zone.clone(),
            control_address: me.control_address,
            expires: system_now + self.settings.seed_lease,
            incarnation: me.incarnation,
            instance: me.instance.clone(),
            slot,
        };
        let replaces = row_in_slot(slot).cloned();
        self.counters.seed_writes += 1;
        actions.push(MembershipAction::WriteSeedRow { replaces, row });
    }
}
