use std::time::Instant;

use medlarspool_types::{Address, InstanceId, ServiceName};

use crate::{
    MemberState, MemberUpdate, Membership, MembershipAction, Message, ServiceKey, UpstreamDetail,
    datagram_space::DatagramSpace, gossiping::MAX_UPDATE_BYTES, interest::Interest, repair::jitter,
};

/// The maximum number of upstream details sent in one datagram.
const DETAILS_PER_DATAGRAM: usize = 12;

/// The maximum number of daemons of the same service to which a changed detail is pushed; the others
/// request it.
const MAX_SERVICE_PEERS: usize = 64;

impl Membership {
    /// Requests the details of each service whose next request is due.
    pub(crate) fn advance_interests(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        let due: Vec<ServiceKey> = self
            .interests
            .iter()
            .filter(|(_, interest)| interest.next_request <= now)
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            self.request_detail(key, now, actions);
        }
    }

    /// Stores the details of a service's upstreams from now on; the first request for them is due at once.
    pub(crate) fn begin_interest(&mut self, service: ServiceName, now: Instant) {
        self.interests
            .entry(ServiceKey::from(&service))
            .or_insert_with(|| Interest::new(service, now));
    }

    /// Schedules an early request for the details of a service's upstreams, because they changed.
    pub(crate) fn schedule_detail_request(&mut self, service: ServiceKey, now: Instant) {
        let wait = jitter(self.settings.probe_interval, &mut self.random);
        if let Some(interest) = self.interests.get_mut(&service) {
            interest.next_request = interest.next_request.min(now + wait);
        }
    }

    /// Discards the details of a service, unless the local upstream offers it.
    pub(crate) fn end_interest(&mut self, service: &ServiceName) {
        let key = ServiceKey::from(service);
        if self.me.service != Some(key) {
            self.interests.remove(&key);
        }
    }

    /// Applies the announcements of a reply and stores its details. If a detail was new, reports the
    /// change and requests the details again soon, because others may have changed as well.
    pub(crate) fn receive_detail_reply(
        &mut self,
        service: &ServiceName,
        details: Vec<UpstreamDetail>,
        updates: Vec<MemberUpdate>,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.apply_updates(updates, false, now, actions);
        let key = ServiceKey::from(service);
        let Some(interest) = self.interests.get_mut(&key) else {
            return;
        };
        let mut is_changed = false;
        for detail in details {
            is_changed |= interest.put(detail);
        }
        if is_changed {
            self.schedule_detail_request(key, now);
            actions.push(MembershipAction::ServiceChanged { service: key });
        }
    }

    /// Answers a request for the details of a service's upstreams.
    ///
    /// If this daemon routes to the service, it sends all details that it has, unless `digest` shows
    /// that the requester has the same ones. If it doesn't route to it, it has no details and sends the
    /// announcements of the service's living members, from which the requester can request them.
    pub(crate) fn receive_detail_request(
        &mut self,
        address: Address,
        digest: u64,
        service: &ServiceName,
        actions: &mut Vec<MembershipAction>,
    ) {
        let key = ServiceKey::from(service);
        let Some(interest) = self.interests.get(&key) else {
            let reply = Message::DetailReply {
                details: Vec::new(),
                service: service.clone(),
                updates: self.service_updates(key),
            };
            self.send(address, reply, actions);
            return;
        };
        if interest.digest() == digest {
            return;
        }
        let details: Vec<UpstreamDetail> = interest.details.values().cloned().collect();
        for details in details.chunks(DETAILS_PER_DATAGRAM) {
            let reply = detail_reply(service, details);
            self.send(address, reply, actions);
        }
    }

    /// Stores the local upstream's detail with a new sequence and pushes it to the other daemons of its
    /// service.
    pub(crate) fn publish_own_detail(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        let Some(upstream) = self.upstream.clone() else {
            return;
        };
        let key = ServiceKey::from(&upstream.service);
        let me = &self.me.member;
        let Some(interest) = self.interests.get_mut(&key) else {
            return;
        };
        let sequence = interest
            .details
            .get(&me.instance)
            .map_or(0, |stored| stored.sequence + 1);
        let detail = UpstreamDetail {
            cold: upstream.cold,
            generation: upstream.generation,
            incarnation: me.incarnation,
            instance: me.instance.clone(),
            process_incarnation: self.process_incarnation,
            sequence,
            slots: upstream.slots,
        };
        interest.put(detail.clone());
        interest.next_request = interest.next_request.max(now);
        actions.push(MembershipAction::ServiceChanged { service: key });
        for address in self.service_peers(key) {
            let reply = detail_reply(&upstream.service, std::slice::from_ref(&detail));
            self.send(address, reply, actions);
        }
    }

    /// Returns the addresses of up to [`MAX_SERVICE_PEERS`] living daemons that announced a service,
    /// except this one.
    fn service_peers(&self, key: ServiceKey) -> Vec<Address> {
        let is_living_peer = |instance: &&InstanceId| {
            **instance != self.me.member.instance
                && self
                    .view
                    .state(instance)
                    .is_some_and(MemberState::is_living)
        };
        self.view
            .service_instances(key)
            .iter()
            .filter(is_living_peer)
            .filter_map(|instance| self.view.get(instance))
            .map(|record| record.announcement.member.control_address)
            .take(MAX_SERVICE_PEERS)
            .collect()
    }

    /// Requests the details of a service's upstreams and schedules the next request.
    ///
    /// The request goes to a random daemon of that service. If none is known, it goes to a random member,
    /// and the next request is due after about one probe interval instead of a detail interval. Also
    /// discards the details of members that are no longer living.
    fn request_detail(
        &mut self,
        key: ServiceKey,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
    ) {
        let service_peers = self.service_peers(key);
        let peer = match self.random.choice(&service_peers) {
            Some(address) => Some(*address),
            None => self.draw_peers(1).first().copied(),
        };
        let interval = if service_peers.is_empty() {
            self.settings.probe_interval
        } else {
            self.settings.detail_interval
        };
        let wait = jitter(interval, &mut self.random);
        let view = &self.view;
        let Some(interest) = self.interests.get_mut(&key) else {
            return;
        };
        interest
            .details
            .retain(|instance, _| view.state(instance).is_some_and(MemberState::is_living));
        interest.next_request = now + wait;
        let request = Message::DetailRequest {
            digest: interest.digest(),
            service: interest.service.clone(),
        };
        if let Some(address) = peer {
            self.send(address, request, actions);
        }
    }

    /// Returns the announcements of a service's living members, as many as fit one datagram.
    fn service_updates(&self, key: ServiceKey) -> Vec<MemberUpdate> {
        let mut updates = Vec::new();
        for instance in self.view.service_instances(key) {
            let is_living = self
                .view
                .state(instance)
                .is_some_and(MemberState::is_living);
            let update = self.view.announcement(instance).filter(|_| is_living);
            updates.extend(update);
        }
        updates.truncate(DatagramSpace::count_fitting(&updates, MAX_UPDATE_BYTES));
        updates
    }
}

fn detail_reply(service: &ServiceName, details: &[UpstreamDetail]) -> Message {
    Message::DetailReply {
        details: details.to_vec(),
        service: service.clone(),
        updates: Vec::new(),
    }
}
