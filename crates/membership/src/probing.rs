use std::time::{Duration, Instant};

use medlarspool_types::{Address, InstanceId};

use crate::{
    AnnouncedState, MemberState, MemberUpdate, Membership, MembershipAction, Message,
    merge::as_suspicion,
    probe::{IndirectPing, Probe, ProbeKind},
    prober::MAX_INDIRECT_PINGS,
    repair::jitter,
};

/// The maximum number of second probes sent in one protocol period.
const SECOND_PROBES_PER_PERIOD: usize = 3;

/// The average delay before a last probe is attempted again after the rate limit of last probes was
/// reached.
const LAST_PROBE_RETRY_DELAY: Duration = Duration::from_millis(200);

impl Membership {
    /// Handles overdue probes and indirect pings, requests the indirect probes that are due, and begins the
    /// next protocol period if it is time and this daemon has not left.
    ///
    /// A period begins with the queued second probes up to their limit, a probe of the next member of the
    /// round and, at each reconnect interval, a probe of a dead member.
    pub(crate) fn advance_probes(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        self.expire_indirect_pings(now, actions);
        self.send_due_indirect_probes(now, actions);
        self.expire_probes(now, actions);
        if now < self.prober.next_period_at || self.me.state == AnnouncedState::Left {
            return;
        }
        self.prober.next_period_at = now + self.settings.probe_interval;
        for _ in 0..SECOND_PROBES_PER_PERIOD {
            if let Some(instance) = self.prober.next_second_probe() {
                self.probe(&instance, ProbeKind::Second, now, actions);
            }
        }
        let me = &self.me.member.instance;
        let next = self.prober.next_in_round(&self.view, me, &mut self.random);
        match next {
            Some(instance) => self.probe(&instance, ProbeKind::First, now, actions),
            None => self.renew_lease_alone(now),
        }
        self.probe_dead_member(now, actions);
    }

    /// Sends the last probe of each suspect whose suspicion is due to end, or postpones it if the rate
    /// limit of last probes is reached.
    pub(crate) fn advance_suspicions(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        let due: Vec<InstanceId> = self
            .suspicions
            .iter()
            .filter(|(_, suspicion)| suspicion.deadline <= now)
            .map(|(instance, _)| instance.clone())
            .collect();
        for instance in due {
            let may_probe = self.last_probe_tokens.try_take(now);
            let timeout = self.settings.probe_interval * self.health.factor() * 2;
            let wait = if may_probe {
                timeout
            } else {
                jitter(LAST_PROBE_RETRY_DELAY, &mut self.random)
            };
            if let Some(suspicion) = self.suspicions.get_mut(&instance) {
                suspicion.deadline = now + wait;
                suspicion.last_probe_sent = may_probe;
            }
            if may_probe {
                self.probe(&instance, ProbeKind::Last, now, actions);
            }
        }
    }

    /// Begins the next protocol period now with a second probe of a member, because it refused a
    /// call's connection. Does nothing unless the member is alive in this view.
    pub(crate) fn probe_at_once(&mut self, instance: &InstanceId, now: Instant) {
        if self.view.state(instance) == Some(MemberState::Alive) {
            self.prober.queue_second_probe(instance);
            self.prober.next_period_at = now;
        }
    }

    /// Ends the probe that an ack answers, or relays the ack of an indirect ping to its requester.
    ///
    /// An answered probe renews the lease and improves the local health. If the probed member is a suspect, its
    /// final probe is postponed until at least one lease duration from now; if the answered probe was the final
    /// one, another is sent then.
    pub(crate) fn receive_ack(
        &mut self,
        number: u64,
        relayed: bool,
        sender: &InstanceId,
        updates: &[MemberUpdate],
        now: Instant,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.relay_ack(number, sender, updates, actions);
        let answered = self
            .prober
            .probes
            .iter()
            .position(|probe| probe.number == number && (relayed || probe.instance == *sender));
        let Some(position) = answered else {
            return;
        };
        let probe = self.prober.probes.swap_remove(position);
        self.lease.renew(probe.sent_at);
        self.health.improve();
        let lease = self.settings.lease;
        if let Some(suspicion) = self.suspicions.get_mut(&probe.instance) {
            suspicion.last_probe_sent = false;
            suspicion.deadline = suspicion.deadline.max(now + lease);
        }
    }

    /// Counts the nack of a peer that was asked for an indirect probe.
    pub(crate) fn receive_nack(&mut self, number: u64) {
        for probe in &mut self.prober.probes {
            if probe.number == number {
                probe.missing_nack_count = probe.missing_nack_count.saturating_sub(1);
            }
        }
    }

    /// Acknowledges a ping. If its updates made this daemon take a new incarnation, the ack begins with
    /// the new announcement, which refutes an accusation.
    pub(crate) fn receive_ping(
        &mut self,
        address: Address,
        sender: &InstanceId,
        number: u64,
        updates: Vec<MemberUpdate>,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
    ) {
        let has_new_incarnation = self.apply_updates(updates, true, now, actions);
        self.handle_unknown_member(address, sender, now, actions);
        let mut updates = self.piggyback(now);
        if has_new_incarnation {
            updates.insert(0, MemberUpdate::Announcement(self.me.clone()));
        }
        let ack = Message::Ack {
            number,
            relayed: false,
            updates,
        };
        self.send(address, ack, actions);
    }

    /// Pings the subject on behalf of the requester, unless too many such pings are in progress.
    pub(crate) fn receive_ping_request(
        &mut self,
        requester: Address,
        requester_number: u64,
        subject: InstanceId,
        address: Address,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
    ) {
        if self.prober.indirect_pings.len() >= MAX_INDIRECT_PINGS {
            return;
        }
        let number = self.prober.next_number();
        self.prober.indirect_pings.push(IndirectPing {
            requester,
            requester_number,
            deadline: now + self.settings.probe_timeout * 4 / 5,
            number,
            subject,
        });
        let updates = self.piggyback(now);
        self.send(address, Message::Ping { number, updates }, actions);
    }

    /// Sends a nack for each indirect ping that was not answered in time.
    fn expire_indirect_pings(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        let mut indirect_pings = std::mem::take(&mut self.prober.indirect_pings);
        for indirect_ping in
            indirect_pings.extract_if(.., |indirect_ping| indirect_ping.deadline <= now)
        {
            let number = indirect_ping.requester_number;
            self.send(indirect_ping.requester, Message::Nack { number }, actions);
        }
        self.prober.indirect_pings = indirect_pings;
    }

    fn expire_probes(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        let mut probes = std::mem::take(&mut self.prober.probes);
        let expired: Vec<Probe> = probes
            .extract_if(.., |probe| probe.deadline <= now)
            .collect();
        self.prober.probes = probes;
        for probe in expired {
            self.expire_probe(&probe, now, actions);
        }
    }

    /// Handles a probe that was not answered in time: begins or confirms a suspicion, marks the member as
    /// dead or queues a second probe, depending on the probe's kind.
    ///
    /// Does nothing more than count it if the member is no longer living or has a new incarnation.
    /// Missing nacks degrade the local health, because this daemon's own messages may not get through.
    fn expire_probe(&mut self, probe: &Probe, now: Instant, actions: &mut Vec<MembershipAction>) {
        self.counters.probes_failed += 1;
        let is_same_incarnation = self.view.get(&probe.instance).is_some_and(|record| {
            record.announcement.member.incarnation == probe.incarnation
                && record.state().is_living()
        });
        if !is_same_incarnation {
            return;
        }
        if probe.missing_nack_count > 0 {
            self.health.degrade();
        }
        match probe.kind {
            ProbeKind::First if self.suspicions.contains_key(&probe.instance) => {
                self.suspect(&probe.instance, self.accuser(), now, actions);
            }
            ProbeKind::First => self.prober.queue_second_probe(&probe.instance),
            ProbeKind::Last => {
                self.counters.deaths_found += 1;
                self.mark_dead(&probe.instance, now, actions);
            }
            ProbeKind::Reconnect => {}
            ProbeKind::Second => {
                self.counters.suspicions_begun += 1;
                self.suspect(&probe.instance, self.accuser(), now, actions);
            }
        }
    }

    /// Sends a ping, which begins with the accusation against the member, if any, so that the member
    /// can refute.
    fn ping(
        &mut self,
        instance: &InstanceId,
        address: Address,
        number: u64,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
    ) {
        let mut updates = self.piggyback(now);
        let accuser = self.accuser();
        if let Some(update) = self.view.accusation(instance, accuser) {
            updates.insert(0, as_suspicion(update));
        }
        self.send(address, Message::Ping { number, updates }, actions);
    }

    /// Begins a probe of a member, unless another one is in progress. A last probe replaces the one in
    /// progress, and a suspect gets no second probe.
    fn probe(
        &mut self,
        instance: &InstanceId,
        kind: ProbeKind,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
    ) {
        let is_suspect = self.suspicions.contains_key(instance);
        match kind {
            ProbeKind::Second if is_suspect => return,
            ProbeKind::Last => self.prober.cancel(instance),
            _ if self.prober.is_probing(instance) => return,
            _ => {}
        }
        let Some(record) = self.view.get(instance) else {
            return;
        };
        let address = record.announcement.member.control_address;
        let incarnation = record.announcement.member.incarnation;
        let number = self.prober.next_number();
        let factor = self.health.factor();
        self.counters.probes_sent += 1;
        self.prober.probes.push(Probe {
            deadline: now + self.settings.probe_interval * factor,
            incarnation,
            instance: instance.clone(),
            kind,
            missing_nack_count: 0,
            number,
            indirect_at: Some(now + self.settings.probe_timeout * factor),
            sent_at: now,
        });
        self.ping(instance, address, number, now, actions);
    }

    /// At each reconnect interval, removes the expired records of members that are dead or have left, and
    /// probes a random one of the remaining dead members in case it was only partitioned.
    fn probe_dead_member(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        if now < self.prober.next_reconnect_at {
            return;
        }
        let interval = self.settings.reconnect_interval;
        self.prober.next_reconnect_at = now + jitter(interval, &mut self.random);
        self.view
            .remove_expired(now, self.settings.tombstone_retention);
        let dead = self
            .view
            .records()
            .filter(|record| record.state() == MemberState::Dead)
            .map(|record| record.announcement.member.instance.clone());
        let dead: Vec<InstanceId> = dead.collect();
        if let Some(instance) = self.random.choice(&dead).cloned() {
            self.probe(&instance, ProbeKind::Reconnect, now, actions);
        }
    }

    /// Pings a member once more and asks random peers to ping it too; returns how many were asked.
    fn request_indirect_probes(
        &mut self,
        instance: &InstanceId,
        number: u64,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
    ) -> u32 {
        let Some(record) = self.view.get(instance) else {
            return 0;
        };
        let address = record.announcement.member.control_address;
        self.ping(instance, address, number, now, actions);
        let me = &self.me.member.instance;
        let peers: Vec<Address> = self
            .view
            .draw_living(
                self.settings.indirect_probe_count,
                &[me, instance],
                &mut self.random,
            )
            .into_iter()
            .map(|record| record.announcement.member.control_address)
            .collect();
        for peer in &peers {
            let request = Message::PingRequest {
                address,
                number,
                subject: instance.clone(),
            };
            self.send(*peer, request, actions);
        }
        u32::try_from(peers.len()).unwrap_or(u32::MAX)
    }

    /// Requests indirect probes for each probe that was not answered before its `indirect_at`, except
    /// reconnect probes.
    fn send_due_indirect_probes(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        for position in 0..self.prober.probes.len() {
            let probe = &mut self.prober.probes[position];
            let is_due = probe
                .indirect_at
                .is_some_and(|indirect_at| indirect_at <= now);
            if !is_due {
                continue;
            }
            probe.indirect_at = None;
            if probe.kind == ProbeKind::Reconnect {
                continue;
            }
            let (instance, number) = (probe.instance.clone(), probe.number);
            let asked_peer_count = self.request_indirect_probes(&instance, number, now, actions);
            self.prober.probes[position].missing_nack_count = asked_peer_count;
        }
    }

    /// Renews the lease of a daemon that has no member to probe, unless its view contains dead members,
    /// since it may then be partitioned from them.
    fn renew_lease_alone(&mut self, now: Instant) {
        let may_be_partitioned = self
            .view
            .records()
            .any(|record| record.state() == MemberState::Dead);
        if !may_be_partitioned {
            self.lease.renew(now);
        }
    }

    /// Forwards the ack of an indirect ping to the daemon that requested the ping.
    fn relay_ack(
        &mut self,
        number: u64,
        sender: &InstanceId,
        updates: &[MemberUpdate],
        actions: &mut Vec<MembershipAction>,
    ) {
        let indirect_ping = self.prober.indirect_pings.iter().position(|indirect_ping| {
            indirect_ping.number == number && indirect_ping.subject == *sender
        });
        if let Some(position) = indirect_ping {
            let indirect_ping = self.prober.indirect_pings.swap_remove(position);
            let ack = Message::Ack {
                number: indirect_ping.requester_number,
                relayed: true,
                updates: updates.to_vec(),
            };
            self.send(indirect_ping.requester, ack, actions);
        }
    }
}
