//! A simulated fleet: membership cores that exchange messages through an in-memory queue under a
//! virtual clock.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant, SystemTime},
};

use medlarspool_membership::{
    Member, MemberState, Membership, MembershipAction, MembershipEvent, MembershipSettings,
    Message, SeedRow, UpstreamAnnouncement,
};
use medlarspool_types::{Address, Incarnation, InstanceId};

/// The step of the virtual clock.
pub const STEP: Duration = Duration::from_millis(20);

/// The bytes of a datagram's envelope and its IP and UDP headers.
const ENVELOPE_BYTES: usize = 128;

/// A member as a node last saw it: its incarnation, its sequence and whether it is living.
type Seen = (Incarnation, u64, bool);

/// One node: the core that runs on it, if any, and its traffic.
pub struct Node {
    pub core: Option<Membership>,
    /// The messages that arrived while the node was paused, each with its sender's index and incarnation.
    pub inbox: Vec<(usize, Incarnation, Message)>,
    /// The highest incarnation that any core on this node has taken.
    pub highest_incarnation: Incarnation,
    pub paused_until: Instant,
    pub sent_bytes: usize,
    pub sent_message_count: usize,
    seen: BTreeMap<InstanceId, Seen>,
}

/// All nodes, the messages in flight between them, and the table of seed rows.
pub struct Fleet {
    /// Whether each event is followed by a check that no older update replaced a newer one.
    pub checks_order: bool,
    /// The maximum delay of a message.
    pub max_delay: Duration,
    /// The share of messages that arrive twice.
    pub duplicated_percent: u32,
    /// The side of a partition on which each node is; messages between different sides are lost.
    pub sides: Vec<usize>,
    /// The share of messages that are lost.
    pub lost_percent: u32,
    pub now: Instant,
    /// The number of requests for state that each node received.
    pub state_request_counts: BTreeMap<usize, usize>,
    pub nodes: Vec<Node>,
    pub random: fastrand::Rng,
    /// The seed rows in the store, by availability zone and slot.
    pub rows: BTreeMap<(String, u8), SeedRow>,
    pub settings: MembershipSettings,
    pub start: Instant,
    /// How long the store takes to answer a read.
    pub store_delay: Duration,
    pub store_read_count: usize,
    pub store_up: bool,
    pub store_write_count: usize,
    pub zone_count: usize,
    /// The messages in flight, by due time and sequence; each with the indexes of sender and recipient.
    queue: BTreeMap<(Instant, u64), (usize, usize, Incarnation, Message)>,
    /// The number of messages queued so far, which orders those that are due at the same time.
    queued_count: u64,
    /// The store's answers in flight: when each is due, the reader's index, and the event.
    store_replies: Vec<(Instant, usize, MembershipEvent)>,
}

impl Fleet {
    pub fn new(size: usize, zone_count: usize, seed: u64) -> Self {
        let now = Instant::now();
        let nodes = (0..size).map(|_| Node {
            core: None,
            inbox: Vec::new(),
            highest_incarnation: Incarnation(0),
            paused_until: now,
            sent_bytes: 0,
            sent_message_count: 0,
            seen: BTreeMap::new(),
        });
        Self {
            checks_order: true,
            max_delay: Duration::from_millis(40),
            duplicated_percent: 0,
            sides: vec![0; size],
            lost_percent: 0,
            now,
            state_request_counts: BTreeMap::new(),
            nodes: nodes.collect(),
            random: fastrand::Rng::with_seed(seed),
            rows: BTreeMap::new(),
            settings: MembershipSettings::default(),
            start: now,
            store_replies: Vec::new(),
            store_delay: Duration::ZERO,
            store_read_count: 0,
            store_up: true,
            store_write_count: 0,
            zone_count,
            queue: BTreeMap::new(),
            queued_count: 0,
        }
    }

    /// Returns a fleet whose nodes all know each other.
    pub fn converged(size: usize, zone_count: usize, seed: u64) -> Self {
        let mut fleet = Self::started(size, zone_count, seed);
        let agreed = fleet.periods_until(120, Self::agrees);
        assert!(agreed.is_some(), "did not form:\n{}", fleet.describe());
        fleet
    }

    /// Returns a fleet whose nodes have just started with an empty table of seed rows.
    pub fn started(size: usize, zone_count: usize, seed: u64) -> Self {
        let mut fleet = Self::new(size, zone_count, seed);
        (0..size).for_each(|index| fleet.start_node(index));
        fleet
    }

    /// Returns whether the living members of each running core are exactly the running nodes, and all
    /// digests are the same.
    pub fn agrees(&self) -> bool {
        let running: BTreeSet<InstanceId> = (0..self.nodes.len())
            .filter(|index| self.nodes[*index].core.is_some())
            .map(instance)
            .collect();
        let mut digests = BTreeSet::new();
        let views = self.nodes.iter().filter_map(|node| node.core.as_ref());
        let mut all_same = true;
        for core in views {
            let living: BTreeSet<InstanceId> = core
                .members()
                .filter(|member| member.state.is_living())
                .map(|member| member.announcement.member.instance.clone())
                .collect();
            all_same &= living == running;
            digests.insert(core.view_digest());
        }
        all_same && digests.len() <= 1
    }

    /// Starts or restarts a node with an incarnation from the virtual clock.
    pub fn start_node(&mut self, index: usize) {
        let micros = 1_000_000_000_000_000 + self.elapsed().as_micros();
        let incarnation = Incarnation(u64::try_from(micros).unwrap());
        self.start_node_as(index, incarnation);
    }

    pub fn start_node_as(&mut self, index: usize, incarnation: Incarnation) {
        let zone = index % self.zone_count;
        let member = Member {
            availability_zone: format!("zone-{zone}").parse().unwrap(),
            call_address: address(index),
            control_address: address(index),
            incarnation,
            instance: instance(index),
            region: "region-1".parse().unwrap(),
        };
        let seed = self.random.u64(..);
        let core = Membership::new(self.settings.clone(), member, seed, self.now);
        let node = &mut self.nodes[index];
        node.highest_incarnation = node.highest_incarnation.max(incarnation);
        node.core = Some(core);
        node.inbox.clear();
        node.paused_until = self.now;
        node.seen.clear();
    }

    /// Stops a node's core without notice to the others.
    pub fn crash(&mut self, index: usize) {
        self.nodes[index].core = None;
        self.nodes[index].inbox.clear();
    }

    pub fn core(&self, index: usize) -> &Membership {
        self.nodes[index].core.as_ref().unwrap()
    }

    /// Returns the view and the counters of each core, for the message of a failed assertion.
    pub fn describe(&self) -> String {
        let mut lines = Vec::new();
        for (index, node) in self.nodes.iter().enumerate() {
            let Some(core) = &node.core else {
                continue;
            };
            let members = core.members().map(|member| {
                let announcement = member.announcement;
                let incarnation = announcement.member.incarnation;
                let instance = &announcement.member.instance;
                format!(
                    "{instance}@{incarnation}.{} {}",
                    announcement.sequence, member.state
                )
            });
            let members: Vec<String> = members.collect();
            lines.push(format!(
                "{index}: {} {:?}",
                members.join(", "),
                core.counters()
            ));
        }
        lines.join("\n")
    }

    pub fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    /// Passes an event to the core of a node, if one runs there, and executes its actions.
    pub fn event(&mut self, index: usize, event: MembershipEvent) {
        let mut actions = Vec::new();
        let node = &mut self.nodes[index];
        let Some(core) = node.core.as_mut() else {
            return;
        };
        core.handle(self.now, event, &mut actions);
        node.highest_incarnation = node
            .highest_incarnation
            .max(core.own_announcement().member.incarnation);
        if self.checks_order {
            self.check_order(index);
        }
        for action in actions {
            self.execute(index, action);
        }
    }

    pub fn announce_upstream(&mut self, index: usize, service: &str, cold: bool) {
        let upstream = UpstreamAnnouncement {
            cold,
            generation: 1,
            service: service.parse().unwrap(),
            slots: 6,
        };
        self.event(index, MembershipEvent::UpstreamAnnounced(upstream));
    }

    /// Suspends a node's process; messages to it are delivered afterwards.
    pub fn pause(&mut self, index: usize, duration: Duration) {
        self.nodes[index].paused_until = self.now + duration;
    }

    /// Advances the clock until a condition holds. Returns how many protocol periods that took, or nothing if
    /// it did not hold after `limit` periods.
    pub fn periods_until(&mut self, limit: u32, holds: impl Fn(&Self) -> bool) -> Option<u32> {
        for period in 0..limit {
            if holds(self) {
                return Some(period);
            }
            self.run(self.settings.probe_interval);
        }
        holds(self).then_some(limit)
    }

    /// Advances the clock by `duration` and handles everything that is due meanwhile.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            self.deliver_store_replies();
            self.deliver();
            for index in 0..self.nodes.len() {
                self.wake(index);
            }
        }
    }

    /// Returns the state of the node `subject` in the view of the node `viewer`.
    pub fn state(&self, viewer: usize, subject: usize) -> Option<MemberState> {
        let core = self.core(viewer);
        core.member(&instance(subject)).map(|member| member.state)
    }

    /// Executes an action of a node's core against the simulated network and store.
    fn execute(&mut self, index: usize, action: MembershipAction) {
        match action {
            MembershipAction::MemberChanged { .. } | MembershipAction::ServiceChanged { .. } => {}
            MembershipAction::ReadSeedRows { availability_zone } => {
                self.store_read_count += 1;
                let zone = availability_zone.as_ref().map(ToString::to_string);
                let rows = self
                    .rows
                    .iter()
                    .filter(|((row_zone, _), _)| zone.as_ref().is_none_or(|zone| zone == row_zone))
                    .map(|(_, row)| row.clone())
                    .collect();
                let event = if self.store_up {
                    MembershipEvent::SeedRowsRead {
                        availability_zone,
                        rows,
                        system_now: SystemTime::UNIX_EPOCH + self.elapsed(),
                    }
                } else {
                    MembershipEvent::SeedRowsUnavailable
                };
                let due = self.now + self.store_delay;
                self.store_replies.push((due, index, event));
            }
            MembershipAction::Send { address, message } => self.send(index, address, &message),
            MembershipAction::WriteSeedRow { replaces, row } => {
                let key = (row.availability_zone.to_string(), row.slot);
                self.store_write_count += 1;
                if self.store_up && self.rows.get(&key) == replaces.as_ref() {
                    self.rows.insert(key, row);
                }
            }
        }
    }

    /// Passes the store's replies that are due to the cores.
    fn deliver_store_replies(&mut self) {
        let now = self.now;
        let due = self.store_replies.extract_if(.., |reply| reply.0 <= now);
        for (_, index, event) in due.collect::<Vec<_>>() {
            self.event(index, event);
        }
    }

    /// Fails if an older update replaced a newer one in the view of a node, a dead incarnation became
    /// living again, or an incarnation is one that its daemon never took.
    fn check_order(&mut self, index: usize) {
        let node = &self.nodes[index];
        let members: Vec<(InstanceId, Seen)> = node
            .core
            .iter()
            .flat_map(Membership::members)
            .map(|member| {
                let announcement = member.announcement;
                let incarnation = announcement.member.incarnation;
                let seen = (incarnation, announcement.sequence, member.state.is_living());
                (announcement.member.instance.clone(), seen)
            })
            .collect();
        for (instance, now) in members {
            let subject = index_of(&instance);
            assert!(
                now.0 <= self.nodes[subject].highest_incarnation,
                "an incarnation that its daemon never took"
            );
            if let Some(before) = self.nodes[index].seen.insert(instance, now) {
                assert!(
                    (now.0, now.1) >= (before.0, before.1),
                    "an older update replaced a newer one"
                );
                let is_revived = now.0 == before.0 && now.2 && !before.2;
                assert!(!is_revived, "a dead incarnation became living again");
            }
        }
    }

    /// Delivers the messages that are due, except those to stopped nodes or across a partition.
    fn deliver(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let (from, to, incarnation, message) = entry.remove();
            let is_partitioned = self.sides[from] != self.sides[to];
            if is_partitioned || self.nodes[to].core.is_none() {
                continue;
            }
            if self.nodes[to].paused_until > self.now {
                self.nodes[to].inbox.push((from, incarnation, message));
            } else {
                self.receive(from, to, incarnation, message);
            }
        }
    }

    fn receive(&mut self, from: usize, to: usize, incarnation: Incarnation, message: Message) {
        if matches!(message, Message::StateRequest { .. }) {
            *self.state_request_counts.entry(to).or_default() += 1;
        }
        let event = MembershipEvent::Received {
            address: address(from),
            incarnation,
            message,
            sender: instance(from),
        };
        self.event(to, event);
    }

    /// Counts a message's bytes, fails if it exceeds a datagram, and queues it with a random delay unless it
    /// is lost.
    fn send(&mut self, from: usize, to: Address, message: &Message) {
        let sender = &mut self.nodes[from];
        let bytes = message.max_bytes();
        assert!(bytes <= 1_200 - 100, "{bytes} bytes in {message:?}");
        sender.sent_bytes += bytes + ENVELOPE_BYTES;
        sender.sent_message_count += 1;
        let incarnation = sender
            .core
            .as_ref()
            .unwrap()
            .own_announcement()
            .member
            .incarnation;
        let to = usize::from(to.port()) - 1;
        let copies = 1 + usize::from(self.random.u32(..100) < self.duplicated_percent);
        for _ in 0..copies {
            if self.random.u32(..100) >= self.lost_percent {
                let due = self.now + self.max_delay.mul_f64(self.random.f64());
                self.queued_count += 1;
                let entry = (from, to, incarnation, message.clone());
                self.queue.insert((due, self.queued_count), entry);
            }
        }
    }

    /// Passes a running node the messages of its inbox, and a tick if its core is due.
    fn wake(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        let is_paused = node.paused_until > self.now;
        let Some(core) = node.core.as_ref().filter(|_| !is_paused) else {
            return;
        };
        let is_due = core.next_wakeup() <= self.now;
        for (from, incarnation, message) in std::mem::take(&mut node.inbox) {
            self.receive(from, index, incarnation, message);
        }
        if is_due {
            self.event(index, MembershipEvent::Tick);
        }
    }
}

pub fn address(index: usize) -> Address {
    let port = u16::try_from(index + 1).unwrap();
    Address::from(([127, 0, 0, 1], port))
}

pub fn instance(index: usize) -> InstanceId {
    format!("instance-{index}").parse().unwrap()
}

fn index_of(instance: &InstanceId) -> usize {
    let text = instance.as_str().trim_start_matches("instance-");
    text.parse().unwrap()
}
