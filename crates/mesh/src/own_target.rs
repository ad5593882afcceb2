use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use crate::{AnnouncedState, Announcement, TargetRecord};

/// The longest delay with which an announcement may arrive. For this long after a target without a known start time
/// deregistered, or said that it leaves, announcements of the same id count as late, since they may belong to the
/// incarnation that ended.
const MAX_ANNOUNCEMENT_DELAY: Duration = Duration::from_secs(10);

/// The target beside this daemon, as it announced itself.
///
/// Announcements of an earlier incarnation, and outdated ones of this incarnation, are ignored.
#[derive(Debug, Default)]
pub struct OwnTarget {
    /// Whether the target is unusable until it announces itself or passes a probe.
    down: bool,
    left_at: Option<Instant>,
    record: Option<TargetRecord>,
}

impl OwnTarget {
    /// Processes an announcement; returns whether it changed the target's id, start time, state, slots or
    /// version, or came from a target that was marked as down.
    ///
    /// A deregistration identifies its incarnation by the id, and by the start time if it has one.
    pub fn receive_announcement(&mut self, now: Instant, announcement: &Announcement) -> bool {
        if announcement.state == AnnouncedState::Gone {
            return self.deregister(now, announcement);
        }
        let Some(service) = &announcement.service else {
            return false;
        };
        if self.is_late(now, announcement) {
            return false;
        }
        let record = TargetRecord {
            born_ms: announcement.born_ms,
            id: announcement.id.clone(),
            sequence: announcement.sequence,
            service: service.clone(),
            slots: announcement.slots,
            state: announcement.state,
            version: announcement.version.clone(),
        };
        let was_down = std::mem::take(&mut self.down);
        let has_changed = was_down
            || self.record.as_ref().is_none_or(|known| {
                known.id != record.id
                    || known.born_ms != record.born_ms
                    || known.state != record.state
                    || known.slots != record.slots
                    || known.version != record.version
            });
        self.record = Some(record);
        has_changed
    }

    /// Restores what the store or a peer recorded of this target during an earlier incarnation of the daemon.
    ///
    /// A restored target that was ready isn't used until it announces itself or a probe finds it healthy. If a
    /// record of the same id has no start time, only the start time, the sequence number and a missing version are
    /// restored. Of the same incarnation it is restored that it leaves, since it may have said so in a response only.
    /// Other records stay as they are. Returns whether a usable target isn't usable any more.
    pub fn restore(&mut self, stored: TargetRecord) -> bool {
        let was_usable = self.usable().is_some();
        match &mut self.record {
            None => {
                self.down = stored.is_usable();
                self.record = Some(stored);
            }
            Some(known) if known.id == stored.id && known.born_ms == 0 => {
                known.born_ms = stored.born_ms;
                known.sequence = known.sequence.max(stored.sequence);
                if known.version.is_empty() {
                    known.version = stored.version;
                }
            }
            Some(known)
                if known.id == stored.id
                    && known.born_ms == stored.born_ms
                    && known.is_usable() =>
            {
                known.state = stored.state;
            }
            Some(_) => {}
        }
        was_usable && self.usable().is_none()
    }

    /// Records that target `id` said in a response that it leaves; returns whether it was ready until then.
    pub fn mark_leaving(&mut self, now: Instant, id: &str) -> bool {
        let ready = self
            .record
            .as_mut()
            .filter(|record| *record.id == *id && record.is_usable());
        let is_ready = ready.is_some();
        if let Some(record) = ready {
            record.state = AnnouncedState::Draining;
            self.left_at = Some(now);
        }
        is_ready
    }

    /// Records that a probe found target `id` healthy: creates a missing record, or makes a ready target usable
    /// that was down. Returns whether it did either.
    pub fn record_healthy_probe(&mut self, id: &Rc<str>, service: &Rc<str>, slots: u32) -> bool {
        match &mut self.record {
            Some(known) if known.id == *id => {
                let recovered = self.down && known.is_usable();
                self.down &= !recovered;
                recovered
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
                    version: "".into(),
                });
                true
            }
        }
    }

    /// Marks the target as down, since nothing listens at its address, until it announces itself or passes a
    /// probe; returns whether it wasn't marked before.
    pub fn mark_down(&mut self) -> bool {
        !std::mem::replace(&mut self.down, true)
    }

    /// Returns whether the target is marked as down.
    #[must_use]
    pub const fn is_down(&self) -> bool {
        self.down
    }

    /// Returns the record of the target if requests may be sent to it.
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

    /// Returns whether an announcement is outdated: it is older than the record, or comes so soon after a target
    /// without a known start time left that it may belong to that incarnation.
    fn is_late(&self, now: Instant, announcement: &Announcement) -> bool {
        let Some(known) = &self.record else {
            return false;
        };
        let has_unknown_start =
            known.id == announcement.id && known.born_ms == 0 && !known.is_usable();
        let left_recently = self
            .left_at
            .is_some_and(|at| now.saturating_duration_since(at) < MAX_ANNOUNCEMENT_DELAY);
        (has_unknown_start && left_recently) || is_stale(known, announcement)
    }

    /// Processes a deregistration; returns whether it changed the record.
    ///
    /// A deregistration of another target, or of an earlier incarnation, leaves the record as it is.
    fn deregister(&mut self, now: Instant, announcement: &Announcement) -> bool {
        self.left_at = Some(now);
        let Some(known) = &mut self.record else {
            self.record = Some(TargetRecord {
                born_ms: announcement.born_ms,
                id: announcement.id.clone(),
                sequence: announcement.sequence,
                service: "".into(),
                slots: 0,
                state: AnnouncedState::Gone,
                version: announcement.version.clone(),
            });
            return true;
        };
        let is_earlier_incarnation =
            announcement.born_ms != 0 && announcement.born_ms < known.born_ms;
        let changes_record = known.id == announcement.id
            && !is_earlier_incarnation
            && known.state != AnnouncedState::Gone;
        if changes_record {
            known.state = AnnouncedState::Gone;
            known.sequence = known.sequence.max(announcement.sequence);
        }
        changes_record
    }
}

/// Returns whether an announcement is older than the known record.
///
/// If the start times differ, the earlier one is older, whatever the ids. If they are equal, an announcement is
/// older only if it has the record's id, and either no greater sequence number, or the ready state although the
/// target is already draining or gone.
fn is_stale(known: &TargetRecord, announcement: &Announcement) -> bool {
    if announcement.born_ms != known.born_ms {
        return announcement.born_ms < known.born_ms;
    }
    let returns_to_ready =
        known.state != AnnouncedState::Ready && announcement.state == AnnouncedState::Ready;
    announcement.id == known.id && (announcement.sequence <= known.sequence || returns_to_ready)
}
