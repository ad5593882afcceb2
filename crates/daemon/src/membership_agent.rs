use std::{
    net::SocketAddr,
    sync::{Arc, mpsc::Sender},
    time::Instant,
};

use medlarspool_membership::{
    Member, MemberState, MemberView, Membership, MembershipAction, MembershipEvent,
    MembershipSettings, Message, SeedRow, UpstreamAnnouncement, UpstreamState, UpstreamView,
};
use medlarspool_proto::{Datagram, MembershipPayload};
use medlarspool_spread::SpreadPeer;
use medlarspool_types::{AvailabilityZone, Incarnation, ServiceName};
use serde_json::json;

use crate::{
    Announcement, datagram_socket::DatagramSocket, directory::Directory, platform_job::PlatformJob,
    shared_state::SharedState, upstream_record::UpstreamRecord,
};

/// Passes events to the membership core and carries out the actions that it returns.
pub(crate) struct MembershipAgent {
    /// The local upstream's last announcement; `None` before the first one and after a lapse.
    announcement: Option<Announcement>,
    core: Membership,
    /// The number of starts of the local upstream, as far as its announcements show them.
    generation: u64,
    /// The services whose upstreams are followed in detail.
    interests: Vec<ServiceName>,
    peers_changed: bool,
    platform: Sender<PlatformJob>,
    shared: Arc<SharedState>,
    socket: Arc<DatagramSocket>,
}

impl MembershipAgent {
    pub(crate) fn new(
        shared: Arc<SharedState>,
        socket: Arc<DatagramSocket>,
        platform: Sender<PlatformJob>,
    ) -> Self {
        let settings = &shared.settings;
        let own_member = Member {
            availability_zone: settings.availability_zone.clone(),
            call_address: settings.peers_address,
            control_address: settings.peers_address,
            incarnation: shared.incarnation,
            instance: settings.instance.clone(),
            region: settings.region.clone(),
        };
        let seed = shared.incarnation.0 ^ u64::from(std::process::id());
        let now = shared.clock.now();
        Self {
            announcement: None,
            core: Membership::new(MembershipSettings::default(), own_member, seed, now),
            generation: 0,
            interests: Vec::new(),
            peers_changed: true,
            platform,
            shared,
            socket,
        }
    }

    /// Passes an announcement of the local upstream to the core.
    ///
    /// The first announcement, also after a lapse, begins a new generation. So does a changed address or the
    /// end of a drain, because it shows that the upstream was restarted.
    pub(crate) fn announce(&mut self, announcement: &Announcement) {
        let previous = self.announcement.replace(announcement.clone());
        let is_renewal = previous.is_some_and(|previous| {
            previous.address == announcement.address && previous.draining <= announcement.draining
        });
        if !is_renewal {
            self.generation += 1;
        }
        let upstream = UpstreamAnnouncement {
            cold: announcement.cold,
            generation: self.generation,
            service: announcement.service.clone(),
            slots: announcement.slots,
        };
        self.add_interest(&announcement.service);
        self.handle_event(MembershipEvent::UpstreamAnnounced(upstream));
        if announcement.draining {
            self.handle_event(MembershipEvent::UpstreamLeaving);
        }
    }

    /// Returns what is known of the members, for the dump page.
    pub(crate) fn dump(&self) -> serde_json::Value {
        let now = self.shared.clock.now();
        let members = self.core.members().map(|member| {
            let announcement = member.announcement;
            json!({
                "address": announcement.member.control_address,
                "availability_zone": announcement.member.availability_zone,
                "incarnation": announcement.member.incarnation,
                "instance": announcement.member.instance,
                "sequence": announcement.sequence,
                "state": member.state,
                "upstream": announcement.upstream,
            })
        });
        json!({
            "counters": self.core.counters(),
            "interests": self.interests,
            "lease_valid": self.core.lease_valid(now),
            "living": self.core.living_count(),
            "local_health_score": self.core.local_health_score(),
            "members": members.collect::<Vec<_>>(),
            "pending_news": self.core.pending_update_count(),
            "view_digest": format!("{:016x}", self.core.view_digest()),
        })
    }

    /// Passes an event to the core and carries out the actions that it returns.
    pub(crate) fn handle_event(&mut self, event: MembershipEvent) {
        let mut actions = Vec::new();
        self.core
            .handle(self.shared.clock.now(), event, &mut actions);
        let mut is_directory_stale = false;
        self.peers_changed |= actions
            .iter()
            .any(|action| matches!(action, MembershipAction::MemberChanged { .. }));
        for action in actions {
            is_directory_stale |= self.execute(action);
        }
        if is_directory_stale {
            self.publish_directory();
        }
    }

    /// Returns whether other daemons came or went since the last [`Self::take_peers`].
    pub(crate) fn peers_changed(&self) -> bool {
        self.peers_changed
    }

    /// Returns the living members, to which changes are spread and from which they are fetched, and resets
    /// [`Self::peers_changed`].
    pub(crate) fn take_peers(&mut self) -> Vec<SpreadPeer> {
        self.peers_changed = false;
        let living = self
            .core
            .members()
            .filter(|member| member.state.is_living());
        living
            .map(|member| &member.announcement.member)
            .map(|member| SpreadPeer {
                address: member.control_address,
                availability_zone: member.availability_zone.clone(),
                instance: member.instance.clone(),
                region: member.region.clone(),
            })
            .collect()
    }

    /// Returns the known members, this daemon included.
    pub(crate) fn members(&self) -> impl Iterator<Item = MemberView<'_>> {
        self.core.members()
    }

    pub(crate) fn next_wakeup(&self) -> Instant {
        self.core.next_wakeup()
    }

    /// Passes a datagram's membership message to the core; a malformed one is only counted.
    pub(crate) fn receive(&mut self, address: SocketAddr, datagram: Datagram) {
        let message = datagram.membership.map(Message::try_from);
        let (Some(Ok(message)), Ok(sender)) = (message, datagram.sender.parse()) else {
            self.shared.metrics.datagrams_refused.inc();
            return;
        };
        self.handle_event(MembershipEvent::Received {
            address,
            incarnation: Incarnation(datagram.incarnation),
            message,
            sender,
        });
    }

    /// Passes the seed rows that were read to the core; `None` if the store could not be read.
    pub(crate) fn seed_rows_read(
        &mut self,
        availability_zone: Option<AvailabilityZone>,
        rows: Option<Vec<SeedRow>>,
    ) {
        let event = match rows {
            Some(rows) => MembershipEvent::SeedRowsRead {
                availability_zone,
                rows,
                system_now: self.shared.clock.system_now(),
            },
            None => MembershipEvent::SeedRowsUnavailable,
        };
        self.handle_event(event);
    }

    /// Begins to follow the upstreams of a service in detail, because a request needs them or the local
    /// upstream serves it.
    pub(crate) fn add_interest(&mut self, service: &ServiceName) {
        if !self.interests.contains(service) {
            self.interests.push(service.clone());
            self.handle_event(MembershipEvent::InterestBegan(service.clone()));
            self.publish_directory();
        }
    }

    /// Lets an announcement that was not renewed lapse, wakes the core and updates the metrics.
    pub(crate) fn tick(&mut self) {
        let now = self.shared.clock.now();
        if self.announcement.is_some() && self.shared.local_upstream.current(now).is_none() {
            self.announcement = None;
            self.handle_event(MembershipEvent::UpstreamLapsed);
        }
        self.handle_event(MembershipEvent::Tick);
        self.shared
            .metrics
            .record_membership(self.core.living_count(), &self.core.counters());
    }

    /// Carries out one action and returns whether the directory must be rebuilt.
    fn execute(&self, action: MembershipAction) -> bool {
        match action {
            MembershipAction::MemberChanged {
                instance, state, ..
            } => {
                log_state(instance.as_str(), state);
                true
            }
            MembershipAction::ReadSeedRows { availability_zone } => {
                self.send_job(PlatformJob::ReadSeedRows { availability_zone });
                false
            }
            MembershipAction::Send { address, message } => {
                self.send(address, &message);
                false
            }
            MembershipAction::ServiceChanged { .. } => true,
            MembershipAction::WriteSeedRow { replaces, row } => {
                self.send_job(PlatformJob::WriteSeedRow { replaces, row });
                false
            }
        }
    }

    fn send_job(&self, job: PlatformJob) {
        if self.platform.send(job).is_err() {
            log::error!("the platform thread has ended");
        }
    }

    /// Builds the directory of the followed services' upstreams and replaces the shared one.
    fn publish_directory(&self) {
        let upstreams = self.interests.iter().flat_map(|service| {
            let upstreams = self.core.upstreams(service);
            upstreams.filter_map(|upstream| upstream_record(service, &upstream))
        });
        let directory: Directory = upstreams.collect();
        self.shared.directory.store(Arc::new(directory));
    }

    fn send(&self, address: SocketAddr, message: &Message) {
        let own_member = &self.core.own_announcement().member;
        let head = self.shared.spread.load().announced;
        let mut datagram =
            Datagram::from_sender(&own_member.instance, own_member.incarnation, head);
        datagram.membership = Some(MembershipPayload::from(message));
        self.socket.send(address, &datagram.seal(&self.shared.key));
    }
}

fn log_state(instance: &str, state: MemberState) {
    let state = state.to_string();
    log::info!(instance, state = state.as_str(); "member");
}

/// Returns what calls need of an upstream, or `None` if its detail is not known yet or it is not available.
fn upstream_record(service: &ServiceName, upstream: &UpstreamView<'_>) -> Option<UpstreamRecord> {
    let detail = upstream.detail?;
    let announcement = upstream.announcement;
    if !upstream.state.is_living() || announcement.upstream == UpstreamState::Absent {
        return None;
    }
    Some(UpstreamRecord {
        availability_zone: announcement.member.availability_zone.clone(),
        draining: !upstream.takes_work(),
        gate_address: announcement.member.call_address,
        gate_incarnation: detail.process_incarnation,
        instance: announcement.member.instance.clone(),
        service: service.clone(),
        slots: detail.slots,
    })
}
