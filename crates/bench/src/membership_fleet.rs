use std::{
    collections::BTreeMap,
    time::{Duration, Instant, SystemTime},
};

use medlarspool_membership::{
    Member, MemberState, MembershipAction, MembershipEvent, MembershipSettings, SeedRow,
    UpstreamAnnouncement,
};
use medlarspool_proto::FleetKey;
use medlarspool_types::{Address, Incarnation, InstanceId, ServiceName};

use crate::{membership_node::MembershipNode, membership_traffic::MembershipTraffic};

/// How long the loop rests between two rounds over all sockets.
const POLL_PAUSE: Duration = Duration::from_millis(1);

/// How often views are compared while agreement is waited for.
const COMPARE_INTERVAL: Duration = Duration::from_millis(50);

/// The availability zones that places are spread over.
const ZONES: usize = 3;

/// The services that upstreams are spread over.
const SERVICES: usize = 8;

/// The text from which the bench's fleet key is derived.
const FLEET_KEY_TEXT: &str = "membership bench key";

/// A change of a member's state in the view of one daemon.
pub struct MembershipObservation {
    /// When it was seen.
    pub at: Instant,
    /// How the member stands.
    pub state: MemberState,
    /// The member's place.
    pub subject: usize,
    /// The place of the daemon that saw it.
    pub observer: usize,
}

/// Daemons' memberships on loopback sockets, polled by one thread.
pub struct MembershipFleet {
    /// The nodes by place; an empty place is a dead daemon.
    pub nodes: Vec<Option<MembershipNode>>,
    /// The changes of state seen.
    pub observations: Vec<MembershipObservation>,
    /// How long the store takes to answer.
    pub store_delay: Duration,
    /// Reads of seed rows.
    pub store_reads: usize,
    /// Writes of seed rows.
    pub store_writes: usize,
    first_port: u16,
    key: FleetKey,
    indices: BTreeMap<InstanceId, usize>,
    random: fastrand::Rng,
    rows: BTreeMap<(String, u8), SeedRow>,
    started: Instant,
    store_answers: Vec<(Instant, usize, MembershipEvent)>,
}

impl MembershipFleet {
    /// Creates a fleet of empty places whose ports follow on the first.
    ///
    /// # Panics
    ///
    /// Panics if the bench's own key is refused.
    #[must_use]
    pub fn new(size: usize, first_port: u16, seed: u64) -> Self {
        let indices = (0..size).map(|index| (instance(index), index)).collect();
        Self {
            first_port,
            key: FleetKey::derive(FLEET_KEY_TEXT).expect("the bench's key is long enough"),
            nodes: (0..size).map(|_| None).collect(),
            indices,
            random: fastrand::Rng::with_seed(seed),
            rows: BTreeMap::new(),
            observations: Vec::new(),
            started: Instant::now(),
            store_answers: Vec::new(),
            store_delay: Duration::ZERO,
            store_reads: 0,
            store_writes: 0,
        }
    }

    /// Returns whether all nodes see just the running ones as living.
    #[must_use]
    pub fn agrees(&self) -> bool {
        self.agrees_among(&(0..self.nodes.len()).collect::<Vec<_>>())
    }

    /// Returns whether the nodes at some places see just each other as living.
    #[must_use]
    pub fn agrees_among(&self, indices: &[usize]) -> bool {
        let running = indices
            .iter()
            .filter_map(|index| self.nodes[*index].as_ref());
        let running: Vec<&MembershipNode> = running.collect();
        let Some(first) = running.first() else {
            return true;
        };
        let digest = first.core.view_digest();
        let all_living = running.iter().all(|node| {
            let member = first.core.member(node.instance());
            member.is_some_and(|member| member.state.is_living())
        });
        all_living
            && first.core.living_count() == running.len()
            && running.iter().all(|node| node.core.view_digest() == digest)
    }

    /// Cuts the first `boundary` places from the others.
    pub fn partition(&mut self, boundary: usize) {
        for index in 0..self.nodes.len() {
            let others =
                (0..self.nodes.len()).filter(|other| (*other < boundary) != (index < boundary));
            let cut_off = others.map(|other| self.address(other)).collect();
            if let Some(node) = self.nodes[index].as_mut() {
                node.cut_off = cut_off;
            }
        }
    }

    /// Lets all nodes reach each other again.
    pub fn end_partition(&mut self) {
        for node in self.nodes.iter_mut().flatten() {
            node.cut_off.clear();
        }
    }

    /// Starts a life at a place, with an upstream and an interest in two services.
    ///
    /// # Panics
    ///
    /// Panics if the bench's own names are refused.
    pub fn start(&mut self, index: usize) {
        let address = self.address(index);
        let zone = index % ZONES;
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let micros = now.unwrap_or_default().as_micros();
        let member = Member {
            availability_zone: format!("region-1-zone-{zone}").parse().expect("a zone"),
            call_address: address,
            control_address: address,
            incarnation: Incarnation(u64::try_from(micros).unwrap_or(u64::MAX)),
            instance: instance(index),
            region: "region-1".parse().expect("a region"),
        };
        let settings = MembershipSettings::default();
        let seed = self.random.u64(..);
        self.nodes[index] = Some(MembershipNode::start(member, settings, &self.key, seed));
        let upstream = UpstreamAnnouncement {
            cold: false,
            generation: 1,
            service: service(index),
            slots: 6,
        };
        self.handle_event(index, MembershipEvent::UpstreamAnnounced(upstream));
        self.handle_event(index, MembershipEvent::InterestBegan(service(index + 1)));
    }

    /// Ends a life without a word.
    pub fn crash(&mut self, index: usize) {
        self.nodes[index] = None;
    }

    /// Hands an event to a node.
    pub fn handle_event(&mut self, index: usize, event: MembershipEvent) {
        let Some(node) = self.nodes[index].as_mut() else {
            return;
        };
        let actions = node.handle_event(event);
        self.perform(index, actions);
    }

    /// Drops a share of all datagrams from now on.
    pub fn set_lost_percent(&mut self, percent: u32) {
        for node in self.nodes.iter_mut().flatten() {
            node.lost_percent = percent;
        }
    }

    /// Returns whether any node still has news to send.
    #[must_use]
    pub fn is_spreading(&self) -> bool {
        let mut nodes = self.nodes.iter().flatten();
        nodes.any(|node| node.core.pending_updates() > 0)
    }

    /// Lets the fleet run for a time.
    pub fn run(&mut self, duration: Duration) {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            self.poll();
        }
    }

    /// Lets the fleet run until views agree and returns the time that took, if they do in time.
    pub fn run_until_agreed(&mut self, max_wait: Duration) -> Option<Duration> {
        self.run_until(max_wait, Self::agrees)
    }

    /// Lets the fleet run until a condition holds and returns the time that took, if it does in time.
    pub fn run_until(
        &mut self,
        max_wait: Duration,
        holds: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let started = Instant::now();
        while started.elapsed() < max_wait {
            self.run(COMPARE_INTERVAL);
            if holds(self) {
                return Some(started.elapsed());
            }
        }
        None
    }

    /// Returns the traffic of all running nodes by place.
    #[must_use]
    pub fn traffic(&self) -> Vec<(usize, MembershipTraffic)> {
        let running = self.nodes.iter().enumerate();
        running
            .filter_map(|(index, node)| node.as_ref().map(|node| (index, node.traffic)))
            .collect()
    }

    fn perform(&mut self, index: usize, actions: Vec<MembershipAction>) {
        for action in actions {
            match action {
                MembershipAction::MemberChanged {
                    instance, state, ..
                } => self.observations.push(MembershipObservation {
                    at: Instant::now(),
                    state,
                    subject: self.indices[&instance],
                    observer: index,
                }),
                MembershipAction::ReadSeedRows { availability_zone } => {
                    self.store_reads += 1;
                    let zone = availability_zone.as_ref().map(ToString::to_string);
                    let rows = self.rows.values().filter(|row| {
                        let held = row.availability_zone.as_str();
                        zone.as_ref().is_none_or(|zone| zone == held)
                    });
                    let rows = rows.cloned().collect();
                    let event = MembershipEvent::SeedRowsRead {
                        availability_zone,
                        rows,
                        system_now: SystemTime::UNIX_EPOCH + self.started.elapsed(),
                    };
                    let due = Instant::now() + self.store_delay;
                    self.store_answers.push((due, index, event));
                }
                MembershipAction::Send { .. } | MembershipAction::ServiceChanged { .. } => {}
                MembershipAction::WriteSeedRow { replaces, row } => {
                    self.store_writes += 1;
                    let key = (row.availability_zone.to_string(), row.slot);
                    if self.rows.get(&key) == replaces.as_ref() {
                        self.rows.insert(key, row);
                    }
                }
            }
        }
    }

    fn address(&self, index: usize) -> Address {
        let offset = u16::try_from(index).unwrap_or(u16::MAX);
        Address::from(([127, 0, 0, 1], self.first_port + offset))
    }

    fn poll(&mut self) {
        let now = Instant::now();
        let answers = self.store_answers.extract_if(.., |answer| answer.0 <= now);
        for (_, index, event) in answers.collect::<Vec<_>>() {
            self.handle_event(index, event);
        }
        for index in 0..self.nodes.len() {
            let Some(node) = self.nodes[index].as_mut() else {
                continue;
            };
            if node.is_active(now) {
                let actions = node.poll();
                self.perform(index, actions);
            }
        }
        std::thread::sleep(POLL_PAUSE);
    }
}

fn instance(index: usize) -> InstanceId {
    let name = format!("i-{index:012}");
    name.parse().expect("a valid instance id")
}

fn service(index: usize) -> ServiceName {
    let name = format!("service-{}", index % SERVICES);
    name.parse().expect("a valid service name")
}
