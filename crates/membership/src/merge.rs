use std::time::Instant;

use medlarspool_types::{Address, Incarnation, InstanceId};

use crate::{
    Accusation, AccusationKind, AnnouncedState, Announcement, MemberState, MemberUpdate,
    Membership, MembershipAction, Message, suspicion, suspicion::Suspicion, update_key::UpdateKey,
};

impl Membership {
    /// Applies updates and returns whether one of them made this daemon take a new incarnation.
    ///
    /// `forward` says whether newer announcements are gossiped on; new accusations always are.
    pub(crate) fn apply_updates(
        &mut self,
        updates: Vec<MemberUpdate>,
        forward: bool,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
    ) -> bool {
        let previous_incarnation = self.me.member.incarnation;
        for update in updates {
            match update {
                MemberUpdate::Accusation(accusation) => {
                    self.apply_accusation(&accusation, now, actions);
                }
                MemberUpdate::Announcement(announcement) => {
                    self.apply_announcement(announcement, forward, now, actions);
                }
            }
        }
        self.me.member.incarnation != previous_incarnation
    }

    /// Applies an announcement if it is newer than the member's record.
    ///
    /// A new incarnation ends the suspicion of the old one. Another instance with the same address and an
    /// older incarnation is marked as dead. If the announcement is about this daemon's own instance and
    /// newer than its own, this daemon only takes a higher incarnation.
    pub(crate) fn apply_announcement(
        &mut self,
        announcement: Announcement,
        forward: bool,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
    ) {
        let instance = announcement.member.instance.clone();
        if instance == self.me.member.instance {
            if announcement.overrides(&self.me) {
                self.refute(announcement.member.incarnation, now, actions);
            }
            return;
        }
        let previous_state = self.view.state(&instance);
        if !self.is_newer(&announcement) {
            self.counters.updates_stale += 1;
            return;
        }
        self.mark_displaced_dead(&announcement, now, actions);
        self.end_refuted_suspicion(&instance, announcement.member.incarnation);
        let urgent = announcement.is_urgent();
        let service = announcement.service;
        self.view.put(announcement, now);
        if !previous_state.is_some_and(MemberState::is_living) {
            self.prober.insert_into_round(&instance, &mut self.random);
        }
        if forward {
            self.enqueue_gossip(UpdateKey::Announcement(instance.clone()), urgent, now);
        }
        self.report_change(&instance, previous_state, actions);
        if let Some(service) = service {
            self.schedule_detail_request(service, now);
            actions.push(MembershipAction::ServiceChanged { service });
        }
    }

    /// Marks a member as dead and gossips its death.
    pub(crate) fn mark_dead(
        &mut self,
        instance: &InstanceId,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
    ) {
        let previous_state = self.view.state(instance);
        self.view.accuse(instance, AccusationKind::Dead, now);
        self.suspicions.remove(instance);
        self.gossip
            .remove(&UpdateKey::Announcement(instance.clone()));
        self.enqueue_gossip(UpdateKey::Accusation(instance.clone()), false, now);
        self.report_change(instance, previous_state, actions);
    }

    /// If the sender's incarnation is suspect or dead in this view, sends it the accusation so that it
    /// can refute.
    pub(crate) fn notify_if_accused(
        &mut self,
        sender: &InstanceId,
        incarnation: Incarnation,
        address: Address,
        actions: &mut Vec<MembershipAction>,
    ) {
        let is_current = self
            .view
            .get(sender)
            .is_some_and(|record| record.announcement.member.incarnation == incarnation);
        let accuser = self.accuser();
        if is_current && let Some(update) = self.view.accusation(sender, accuser) {
            let updates = vec![as_suspicion(update)];
            self.send(address, Message::Gossip { updates }, actions);
        }
    }

    /// Begins the suspicion of a member and gossips it, or confirms an existing one.
    pub(crate) fn suspect(
        &mut self,
        instance: &InstanceId,
        accuser: u32,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(record) = self.view.get(instance) else {
            return;
        };
        let previous_state = record.state();
        let incarnation = record.announcement.member.incarnation;
        let key = UpdateKey::Accusation(instance.clone());
        if let Some(suspicion) = self.suspicions.get_mut(instance) {
            if suspicion.confirm(accuser) {
                self.enqueue_gossip(key, false, now);
            }
            return;
        }
        let period = self.settings.probe_interval * self.health.factor();
        let base_duration =
            suspicion::base_duration(self.view.living_count(), period, self.settings.lease);
        let suspicion = Suspicion::new(incarnation, accuser, base_duration, now);
        self.suspicions.insert(instance.clone(), suspicion);
        self.view.accuse(instance, AccusationKind::Suspect, now);
        self.enqueue_gossip(key, false, now);
        self.report_change(instance, Some(previous_state), actions);
    }

    /// Applies an accusation against a living member's current incarnation; others are ignored.
    ///
    /// Marks the member as dead if it is reported dead and has had time to refute its suspicion; otherwise
    /// begins or confirms the suspicion. Refutes an accusation against this daemon, unless it has left.
    fn apply_accusation(
        &mut self,
        accusation: &Accusation,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
    ) {
        if accusation.instance == self.me.member.instance {
            let is_current = accusation.incarnation >= self.me.member.incarnation;
            if is_current && self.me.state != AnnouncedState::Left {
                self.counters.refutations += 1;
                self.health.degrade();
                self.refute(accusation.incarnation, now, actions);
            }
            return;
        }
        let Some(record) = self.view.get(&accusation.instance) else {
            return;
        };
        let is_same_incarnation = record.announcement.member.incarnation == accusation.incarnation;
        if !is_same_incarnation || !record.state().is_living() {
            self.counters.updates_stale += 1;
            return;
        }
        let suspicion = self.suspicions.get(&accusation.instance);
        let is_believable = suspicion.is_some_and(|suspicion| suspicion.had_time_to_refute(now));
        if accusation.kind == AccusationKind::Dead && is_believable {
            self.mark_dead(&accusation.instance, now, actions);
        } else {
            self.suspect(&accusation.instance, accusation.accuser, now, actions);
        }
    }

    /// Marks another instance dead that has the address of the announcement and an older
    /// incarnation, because a new instance has replaced it.
    fn mark_displaced_dead(
        &mut self,
        newer: &Announcement,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(holder) = self.view.living_at(&newer.member.control_address).cloned() else {
            return;
        };
        let is_older = self.view.get(&holder).is_some_and(|record| {
            record.announcement.member.incarnation < newer.member.incarnation
        });
        if holder != newer.member.instance && holder != self.me.member.instance && is_older {
            self.mark_dead(&holder, now, actions);
        }
    }

    /// Ends the suspicion of a member if it is about an older incarnation than this one.
    fn end_refuted_suspicion(&mut self, instance: &InstanceId, incarnation: Incarnation) {
        let is_refuted = self
            .suspicions
            .get(instance)
            .is_some_and(|suspicion| suspicion.incarnation < incarnation);
        if is_refuted {
            self.counters.suspicions_refuted += 1;
            self.suspicions.remove(instance);
            self.gossip.remove(&UpdateKey::Accusation(instance.clone()));
        }
    }

    /// Returns whether an announcement is newer than the member's record. A member that is dead or has
    /// left becomes living again only with a higher incarnation.
    fn is_newer(&self, announcement: &Announcement) -> bool {
        self.view
            .get(&announcement.member.instance)
            .is_none_or(|record| {
                let stored = &record.announcement;
                let is_new_incarnation =
                    announcement.member.incarnation > stored.member.incarnation;
                is_new_incarnation || (announcement.overrides(stored) && record.state().is_living())
            })
    }

    /// Reports a member's state if it differs from the previous one.
    fn report_change(
        &self,
        instance: &InstanceId,
        previous_state: Option<MemberState>,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(record) = self.view.get(instance) else {
            return;
        };
        if previous_state != Some(record.state()) {
            actions.push(MembershipAction::MemberChanged {
                instance: instance.clone(),
                service: record.announcement.service,
                state: record.state(),
            });
        }
    }
}

/// Weakens a reported death to a suspicion where it is sent later than it was found, so that a
/// member that was only partitioned can refute before others mark it as dead.
pub(crate) fn as_suspicion(update: MemberUpdate) -> MemberUpdate {
    match update {
        MemberUpdate::Accusation(accusation) => MemberUpdate::Accusation(Accusation {
            kind: AccusationKind::Suspect,
            ..accusation
        }),
        MemberUpdate::Announcement(_) => update,
    }
}
