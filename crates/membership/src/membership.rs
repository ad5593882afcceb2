use std::{collections::BTreeMap, time::Instant};

use medlarspool_types::{Address, InstanceId, ServiceName};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    AnnouncedState, Announcement, Member, MemberView, MembershipAction, MembershipCounters,
    MembershipEvent, MembershipSettings, Message, ServiceKey, UpstreamAnnouncement, UpstreamState,
    UpstreamView, gossip_queue::GossipQueue, interest::Interest, lease::Lease,
    local_health::LocalHealth, prober::Prober, repair::Repair, repair::jitter,
    seed_schedule::SeedSchedule, service_key::fold_hash, suspicion::Suspicion,
    token_bucket::TokenBucket, update_key::UpdateKey, view::View,
};

/// The burst of the gossip byte budget, in seconds of its rate.
const GOSSIP_BURST_S: u32 = 12;

/// The maximum number of last probes, each at the end of a suspicion, that a daemon sends in a
/// second.
const LAST_PROBES_PER_SECOND: u32 = 5;

/// The core of a daemon's membership: the protocol without I/O.
///
/// It takes events with the current time and returns actions; see `docs/design/membership.md`.
#[derive(Debug)]
pub struct Membership {
    pub(crate) counters: MembershipCounters,
    pub(crate) gossip: GossipQueue,
    /// The byte budget of gossip.
    pub(crate) gossip_tokens: TokenBucket,
    pub(crate) health: LocalHealth,
    /// The services that this daemon routes to and the service of its own upstream.
    pub(crate) interests: BTreeMap<ServiceKey, Interest>,
    /// When the last event was handled, by which a pause of the process is detected.
    pub(crate) last_handled: Instant,
    /// Limits the last probes of suspects.
    pub(crate) last_probe_tokens: TokenBucket,
    pub(crate) lease: Lease,
    /// The incarnation with which the process started, which refutations do not change.
    pub(crate) process_incarnation: medlarspool_types::Incarnation,
    /// This daemon's newest announcement.
    pub(crate) me: Announcement,
    /// When queued updates are next pushed.
    pub(crate) next_gossip: Instant,
    /// Limits the pages of state that this daemon sends and the digest comparisons that pings of
    /// unknown members cause.
    pub(crate) page_tokens: TokenBucket,
    pub(crate) prober: Prober,
    pub(crate) random: fastrand::Rng,
    pub(crate) repair: Repair,
    pub(crate) seeds: SeedSchedule,
    pub(crate) settings: MembershipSettings,
    pub(crate) suspicions: BTreeMap<InstanceId, Suspicion>,
    /// The newest announcement of the local upstream; none before the first one.
    pub(crate) upstream: Option<UpstreamAnnouncement>,
    pub(crate) view: View,
}

impl Membership {
    /// Creates the core of a daemon that knows no other member yet; `seed` is the seed of its random
    /// draws.
    #[must_use]
    pub fn new(settings: MembershipSettings, me: Member, seed: u64, now: Instant) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let me = Announcement {
            member: me,
            sequence: 0,
            service: None,
            state: AnnouncedState::Alive,
            upstream: UpstreamState::Absent,
        };
        let mut view = View::new();
        view.put(me.clone(), now);
        let rate = settings.gossip_bytes_per_second;
        let pages = settings.pages_per_second;
        Self {
            counters: MembershipCounters::default(),
            gossip: GossipQueue::default(),
            gossip_tokens: TokenBucket::new(rate, rate * GOSSIP_BURST_S, now),
            health: LocalHealth::default(),
            interests: BTreeMap::new(),
            last_handled: now,
            last_probe_tokens: TokenBucket::new(
                LAST_PROBES_PER_SECOND,
                LAST_PROBES_PER_SECOND,
                now,
            ),
            lease: Lease::new(settings.lease, now),
            process_incarnation: me.member.incarnation,
            me,
            next_gossip: now,
            page_tokens: TokenBucket::new(pages, pages, now),
            prober: Prober::new(now + jitter(settings.probe_interval, &mut random)),
            repair: Repair::new(now),
            seeds: SeedSchedule::new(now, &mut random),
            random,
            settings,
            suspicions: BTreeMap::new(),
            upstream: None,
            view,
        }
    }

    /// Returns the counters since the start of the process.
    #[must_use]
    pub fn counters(&self) -> MembershipCounters {
        self.counters
    }

    /// Handles an event and appends the resulting actions to `actions`.
    pub fn handle(
        &mut self,
        now: Instant,
        event: MembershipEvent,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.handle_pause(now, actions);
        match event {
            MembershipEvent::ConnectionRefused { instance } => self.probe_at_once(&instance, now),
            MembershipEvent::InterestBegan(service) => self.begin_interest(service, now),
            MembershipEvent::InterestEnded(service) => self.end_interest(&service),
            MembershipEvent::Leave => self.leave(AnnouncedState::Leaving, now, actions),
            MembershipEvent::Received {
                address,
                incarnation,
                message,
                sender,
            } => {
                if !matches!(message, Message::Gossip { .. }) {
                    self.notify_if_accused(&sender, incarnation, address, actions);
                }
                self.receive(now, address, &sender, message, actions);
            }
            MembershipEvent::SeedRowsRead {
                availability_zone,
                rows,
                system_now,
            } => self.apply_seed_rows(now, availability_zone.as_ref(), &rows, system_now, actions),
            MembershipEvent::Stop => self.leave(AnnouncedState::Left, now, actions),
            MembershipEvent::SeedRowsUnavailable | MembershipEvent::Tick => {}
            MembershipEvent::UpstreamAnnounced(upstream) => {
                self.receive_upstream_announcement(upstream, now, actions);
            }
            MembershipEvent::UpstreamLapsed => {
                self.set_upstream(UpstreamState::Lapsed, now, actions);
            }
            MembershipEvent::UpstreamLeaving => {
                self.set_upstream(UpstreamState::Leaving, now, actions);
            }
            MembershipEvent::UpstreamRefused => {
                self.set_upstream(UpstreamState::Refusing, now, actions);
            }
        }
        self.advance(now, actions);
    }

    /// Returns whether one of this daemon's probes was answered recently, so that it may act as a
    /// member.
    ///
    /// After a pause of the process this is false until a new probe is answered.
    #[must_use]
    pub fn lease_valid(&self, now: Instant) -> bool {
        self.lease.is_valid(now)
    }

    /// Returns the local health score, from 0 (healthy) to 3 (worst).
    #[must_use]
    pub fn local_health_score(&self) -> u32 {
        self.health.score()
    }

    /// Returns this daemon's newest announcement.
    #[must_use]
    pub fn own_announcement(&self) -> &Announcement {
        &self.me
    }

    /// Returns a member as this daemon sees it.
    #[must_use]
    pub fn member(&self, instance: &InstanceId) -> Option<MemberView<'_>> {
        self.view.get(instance).map(|record| MemberView {
            announcement: &record.announcement,
            state: record.state(),
        })
    }

    /// Returns all members as this daemon sees them, including itself and those members that
    /// are dead or have left and whose records it still retains.
    pub fn members(&self) -> impl Iterator<Item = MemberView<'_>> {
        self.view.records().map(|record| MemberView {
            announcement: &record.announcement,
            state: record.state(),
        })
    }

    /// Returns the number of living members, including this daemon.
    #[must_use]
    pub fn living_count(&self) -> usize {
        self.view.living_count()
    }

    /// Returns the number of updates in the queue for gossip; 0 once each was sent often enough.
    #[must_use]
    pub fn pending_update_count(&self) -> usize {
        self.gossip.len()
    }

    /// Returns when the core next has to be called if no other event arrives before.
    #[must_use]
    pub fn next_wakeup(&self) -> Instant {
        let mut next = self.prober.next_wakeup().min(self.repair.next_digest);
        if !self.gossip.is_empty() {
            next = next.min(self.next_gossip);
        }
        if !self.repair.is_done() {
            next = next.min(self.repair.next_page);
        }
        let interests = self
            .interests
            .values()
            .map(|interest| interest.next_request);
        let suspicions = self.suspicions.values().map(|suspicion| suspicion.deadline);
        interests
            .chain(suspicions)
            .fold(next.min(self.seeds.next_read), Instant::min)
    }

    /// Returns the digest of the living members in this daemon's view, which is the same for equal
    /// views.
    #[must_use]
    pub fn view_digest(&self) -> u64 {
        self.view.root()
    }

    /// Returns the upstreams of a service, each with its detail if this daemon routes to the service
    /// and knows it.
    pub fn upstreams(&self, service: &ServiceName) -> impl Iterator<Item = UpstreamView<'_>> {
        let key = ServiceKey::from(service);
        let interest = self.interests.get(&key);
        self.view
            .service_instances(key)
            .iter()
            .filter_map(move |instance| {
                let record = self.view.get(instance)?;
                Some(UpstreamView {
                    announcement: &record.announcement,
                    detail: interest.and_then(|interest| interest.details.get(instance)),
                    state: record.state(),
                })
            })
    }

    /// Runs all timers that are due.
    fn advance(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        self.advance_probes(now, actions);
        self.advance_suspicions(now, actions);
        self.advance_repair(now, actions);
        self.advance_interests(now, actions);
        self.advance_seeds(now, actions);
        self.advance_gossip(now, actions);
    }

    /// Handles a pause of the process of at least the lease; does nothing after a shorter one.
    ///
    /// Discards the probes that began before the pause, because their answers could not be read.
    /// Postpones the last probes of all suspects by a lease, degrades the local health, and takes a new
    /// incarnation so that other members learn that this daemon is alive.
    fn handle_pause(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        let pause = now.saturating_duration_since(self.last_handled);
        self.last_handled = self.last_handled.max(now);
        if pause < self.settings.lease {
            return;
        }
        self.prober
            .reset_after_pause(now, self.settings.probe_timeout);
        for suspicion in self.suspicions.values_mut() {
            suspicion.deadline = suspicion.deadline.max(now) + self.settings.lease;
            suspicion.last_probe_sent = false;
        }
        self.health.degrade();
        self.refute(self.me.member.incarnation, now, actions);
    }

    /// Returns the hash that identifies this daemon as the accuser in its accusations.
    pub(crate) fn accuser(&self) -> u32 {
        fold_hash(xxh3_64(self.me.member.instance.as_str().as_bytes()))
    }

    /// Publishes this daemon's announcement with a higher sequence.
    pub(crate) fn announce(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        self.me.sequence += 1;
        self.publish_own_announcement(now, actions);
    }

    /// Takes a higher incarnation than `incarnation`, which was accused or which another announcement of
    /// this instance carried, and publishes this daemon's announcement and detail with it.
    pub(crate) fn refute(
        &mut self,
        incarnation: medlarspool_types::Incarnation,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
    ) {
        self.me.member.incarnation = incarnation.max(self.me.member.incarnation).next();
        self.publish_own_announcement(now, actions);
        self.publish_own_detail(now, actions);
    }

    /// Sends a message, unless its recipient is this daemon itself.
    pub(crate) fn send(
        &self,
        address: Address,
        message: Message,
        actions: &mut Vec<MembershipAction>,
    ) {
        if address != self.me.member.control_address {
            actions.push(MembershipAction::Send { address, message });
        }
    }

    /// Announces that this daemon is leaving or has left, and gossips it at once.
    fn leave(&mut self, state: AnnouncedState, now: Instant, actions: &mut Vec<MembershipAction>) {
        if self.me.state >= state {
            return;
        }
        self.me.state = state;
        self.announce(now, actions);
        self.push_gossip(now, actions);
    }

    fn publish_own_announcement(&mut self, now: Instant, actions: &mut Vec<MembershipAction>) {
        self.view.put(self.me.clone(), now);
        let instance = self.me.member.instance.clone();
        self.enqueue_gossip(UpdateKey::Announcement(instance), self.me.is_urgent(), now);
        if let Some(service) = self.me.service {
            actions.push(MembershipAction::ServiceChanged { service });
        }
    }

    /// Announces a new state of the local upstream and gossips it at once, if an upstream was announced.
    /// A leaving upstream stays leaving until a new generation of it is announced.
    fn set_upstream(
        &mut self,
        upstream: UpstreamState,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
    ) {
        let is_leaving = self.me.upstream == UpstreamState::Leaving;
        if self.upstream.is_none() || self.me.upstream == upstream || is_leaving {
            return;
        }
        self.me.upstream = upstream;
        self.announce(now, actions);
        self.push_gossip(now, actions);
    }

    /// Stores an announcement of the local upstream. Publishes the upstream's detail if the announcement
    /// differs from the previous one, and announces the upstream as serving if it isn't yet. Once the
    /// upstream is leaving, only a new generation of it is announced as serving.
    fn receive_upstream_announcement(
        &mut self,
        upstream: UpstreamAnnouncement,
        now: Instant,
        actions: &mut Vec<MembershipAction>,
    ) {
        let previous = self.upstream.replace(upstream.clone());
        let is_new_generation = previous
            .as_ref()
            .is_none_or(|previous| previous.generation != upstream.generation);
        let is_leaving = self.me.upstream == UpstreamState::Leaving && !is_new_generation;
        let service = Some(ServiceKey::from(&upstream.service));
        let is_announced = self.me.service == service && self.me.upstream == UpstreamState::Serving;
        if previous.as_ref() != Some(&upstream) {
            self.begin_interest(upstream.service, now);
            self.publish_own_detail(now, actions);
        }
        if !is_leaving && !is_announced {
            self.me.service = service;
            self.me.upstream = UpstreamState::Serving;
            self.announce(now, actions);
        }
    }
}
