use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use crate::{AnnouncedState, Announcement, TargetRecord};

/// How late an announcement may come. For so long after a farewell that told no start, announcements
/// under the same id are taken for late ones, since they may belong to the life that ended.
const LATE: Duration = Duration::from_secs(10);

/// The target beside this daemon, by what it announced.
///
/// Announcements of an earlier life, and earlier ones of this life, change nothing.
#[derive(Debug, Default)]
pub struct OwnTarget {
    down: bool,
    left_at: Option<Instant>,
    record: Option<TargetRecord>,
}

impl OwnTarget {
    /// Takes in an announcement; returns whether it changed the record.
    ///
    /// A farewell names the life that it belongs to by id, and by start where it tells one.
    pub fn receive_announcement(&mut self, now: Instant, heard: &Announcement) -> bool {
        if heard.state == AnnouncedState::Gone {
            return self.leave(now, heard);
        }
        let Some(service) = &heard.service else {
            return false;
        };
        if self.is_late(now, heard) {
            return false;
        }
        let record = TargetRecord {
            born_ms: heard.born_ms,
            id: heard.id.clone(),
            sequence: heard.sequence,
            service: service.clone(),
            slots: heard.slots,
            state: heard.state,
        };
        let was_down = std::mem::take(&mut self.down);
        let changed = was_down
            || self.record.as_ref().is_none_or(|known| {
                known.id != record.id
                    || known.born_ms != record.born_ms
                    || known.state != record.state
                    || known.slots != record.slots
            });
        self.record = Some(record);
        changed
    }

    /// Takes in what the store or a peer remembers of this target from an earlier life of the daemon.
    ///
    /// A remembered target that was ready isn't used until it announces itself or a probe finds it.
    pub fn restore(&mut self, remembered: TargetRecord) {
        match &mut self.record {
            None => {
                self.down = remembered.is_usable();
                self.record = Some(remembered);
            }
            Some(known) if known.id == remembered.id && known.born_ms == 0 => {
                known.born_ms = remembered.born_ms;
                known.sequence = known.sequence.max(remembered.sequence);
            }
            Some(_) => {}
        }
    }

    /// Takes in a probe's finding that `id` is healthy; returns whether it changed the record.
    pub fn record_healthy_probe(&mut self, id: &Rc<str>, service: &Rc<str>, slots: u32) -> bool {
        match &mut self.record {
            Some(known) if known.id == *id => {
                let revived = self.down && known.is_usable();
                self.down &= !revived;
                revived
            }
            Some(_) => false,
            None => {
                self.record = Some(TargetRecord {
                    born_ms: 0,
                    id: id.clone(),
                    sequence: 0,
                    service: service.clone(),
                    slots,
                    state: AnnouncedState::Ready,
                });
                true
            }
        }
    }

    /// Notes that nothing listens at the target's address; it counts as down until it is heard again.
    pub fn mark_down(&mut self) -> bool {
        !std::mem::replace(&mut self.down, true)
    }

    /// Returns the record of the target if requests may be handed to it.
    #[must_use]
    pub fn usable(&self) -> Option<&TargetRecord> {
        self.record
            .as_ref()
            .filter(|record| record.is_usable() && !self.down)
    }

    /// Returns the record, usable or not.
    #[must_use]
    pub const fn record(&self) -> Option<&TargetRecord> {
        self.record.as_ref()
    }

    fn is_late(&self, now: Instant, heard: &Announcement) -> bool {
        let Some(known) = &self.record else {
            return false;
        };
        let unknown_life = known.id == heard.id && known.born_ms == 0 && !known.is_usable();
        let left_lately = self
            .left_at
            .is_some_and(|at| now.saturating_duration_since(at) < LATE);
        (unknown_life && left_lately) || is_stale(known, heard)
    }

    fn leave(&mut self, now: Instant, heard: &Announcement) -> bool {
        self.left_at = Some(now);
        let Some(known) = &mut self.record else {
            self.record = Some(TargetRecord {
                born_ms: heard.born_ms,
                id: heard.id.clone(),
                sequence: heard.sequence,
                service: "".into(),
                slots: 0,
                state: AnnouncedState::Gone,
            });
            return true;
        };
        let earlier_life = heard.born_ms != 0 && heard.born_ms < known.born_ms;
        let changes = known.id == heard.id && !earlier_life && known.state != AnnouncedState::Gone;
        if changes {
            known.state = AnnouncedState::Gone;
            known.sequence = known.sequence.max(heard.sequence);
        }
        changes
    }
}

fn is_stale(known: &TargetRecord, heard: &Announcement) -> bool {
    if heard.born_ms != known.born_ms {
        return heard.born_ms < known.born_ms;
    }
    let left = known.state != AnnouncedState::Ready && heard.state == AnnouncedState::Ready;
    heard.id == known.id && (heard.sequence <= known.sequence || left)
}
