use std::time::{Instant, SystemTime};

use medlarspool_types::AvailabilityZone;

use crate::{MemberState, Membership, MembershipAction, Message, SeedRow};

/// One read in so many takes in all availability zones, so that separated parts meet again.
const READS_TO_WIDE_READ: u32 = 2;

/// The reads after which a daemon that knows nobody writes rows in place of lapsed ones.
const READS_BEFORE_WRITE: u32 = 2;

/// The reads after which a daemon that knows nobody takes rows of silent daemons for lapsed.
const READS_BEFORE_DISTRUST: u32 = 4;

/// The reads after which each daemon that knows nobody writes; before, only some do, so that a herd
/// does not race.
const READS_BEFORE_ALL_WRITE: u32 = 4;

impl Membership {
    pub(crate) fn advance_seeds(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        if now < self.seeds.next_read {
            return;
        }
        if self.is_lonely() {
            self.seeds.schedule_lonely(now, &mut self.random);
            let reads_all = self.seeds.lonely_reads > 1;
            let own = self.me.member.availability_zone.clone();
            self.read_seed_rows((!reads_all).then_some(own), actions);
            return;
        }
        let has_just_joined = self.seeds.lonely_reads > 0;
        let sharers = self.view.living_in(&self.me.member.availability_zone);
        let interval = self.settings.seed_read_interval;
        self.seeds
            .schedule_shared(now, interval, sharers, &mut self.random);
        if !has_just_joined {
            let is_wide = self.random.u32(..READS_TO_WIDE_READ) == 0;
            let own = self.me.member.availability_zone.clone();
            self.read_seed_rows((!is_wide).then_some(own), actions);
        }
    }

    pub(crate) fn seed_rows_read(
        &mut self,
        now: Instant,
        zone: Option<&AvailabilityZone>,
        rows: &[SeedRow],
        system_now: SystemTime,
        actions: &mut Vec<MembershipAction>,
    ) {
        let strangers: Vec<&SeedRow> = rows.iter().filter(|row| self.is_stranger(row)).collect();
        if self.is_lonely() {
            let contacts = strangers.iter().map(|row| row.control_address);
            self.repair.join(contacts.collect(), now);
        } else {
            for row in strangers.iter().filter(|row| row.expires > system_now) {
                let root = self.view.root();
                self.send(
                    row.control_address,
                    Message::DigestRequest { root },
                    actions,
                );
            }
        }
        let own = &self.me.member.availability_zone;
        if zone.is_none_or(|zone| zone == own) && self.may_write() {
            self.write_seed_row(rows, system_now, actions);
        }
    }

    fn is_lonely(&self) -> bool {
        self.view.living() == 1
    }

    fn is_stranger(&self, row: &SeedRow) -> bool {
        let is_living = self
            .view
            .state(&row.instance)
            .is_some_and(MemberState::is_living);
        !is_living && row.control_address != self.me.member.control_address
    }

    fn may_write(&mut self) -> bool {
        if !self.is_lonely() {
            return true;
        }
        let reads = self.seeds.lonely_reads.min(READS_BEFORE_ALL_WRITE);
        let rivals = 1 << (READS_BEFORE_ALL_WRITE - reads);
        reads >= READS_BEFORE_WRITE && self.random.u32(..rivals) == 0
    }

    /// Returns whether a row should be renewed or taken over by whoever reads it.
    fn needs_writing(&self, row: &SeedRow, system_now: SystemTime) -> bool {
        let renewal = self.settings.seed_lease / 3;
        let is_lapsing = row.expires < system_now + renewal;
        let is_silent = self.is_lonely() && self.seeds.lonely_reads >= READS_BEFORE_DISTRUST;
        let is_gone = matches!(
            self.view.state(&row.instance),
            Some(MemberState::Dead | MemberState::Left)
        );
        is_lapsing || is_gone || is_silent
    }

    fn read_seed_rows(
        &mut self,
        availability_zone: Option<AvailabilityZone>,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.counters.seed_reads += 1;
        actions.push(MembershipAction::ReadSeedRows { availability_zone });
    }

    fn write_seed_row(
        &mut self,
        rows: &[SeedRow],
        system_now: SystemTime,
        actions: &mut Vec<MembershipAction>,
    ) {
        let me = &self.me.member;
        let own_zone = |row: &&SeedRow| row.availability_zone == me.availability_zone;
        let rows: Vec<&SeedRow> = rows.iter().filter(own_zone).collect();
        let mine = rows.iter().find(|row| row.instance == me.instance);
        let in_slot = |slot: u8| rows.iter().copied().find(|row| row.slot == slot);
        let open: Vec<u8> = (0..self.settings.seed_slots)
            .filter(|slot| in_slot(*slot).is_none_or(|row| self.needs_writing(row, system_now)))
            .collect();
        let slot = match mine {
            Some(row) => open.contains(&row.slot).then_some(row.slot),
            None => self.random.choice(&open).copied(),
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
        let replaces = in_slot(slot).cloned();
        self.counters.seed_writes += 1;
        actions.push(MembershipAction::WriteSeedRow { replaces, row });
    }
}
