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

/// The pause between two polls of all sockets.
const POLL_PAUSE: Duration = Duration::from_millis(1);

/// The interval between two comparisons of views while waiting for agreement.
const COMPARE_INTERVAL: Duration = Duration::from_millis(50);

/// The number of availability zones that nodes are spread over.
const ZONE_COUNT: usize = 3;

/// The number of services that upstreams are spread over.
const SERVICE_COUNT: usize = 8;

/// The text from which the bench's fleet key is derived.
const FLEET_KEY_TEXT: &str = "membership bench key";

/// A change of a member's state in the view of one node.
pub struct MembershipObservation {
    /// When the observer's view changed.
    pub at: Instant,
    /// The member's new state.
    pub state: MemberState,
    /// The index of the member's node.
    pub subject: usize,
    /// The index of the node that observed it.
    pub observer: usize,
}

/// The memberships of a fleet's daemons on loopback sockets, polled by one thread.
pub struct MembershipFleet {
    /// The nodes by index; `None` stands for a daemon that isn't running.
    pub nodes: Vec<Option<MembershipNode>>,
    /// The observed changes of members' states.
    pub observations: Vec<MembershipObservation>,
    /// How long the store takes to answer.
    pub store_delay: Duration,
    /// The number of reads of seed rows so far.
    pub store_read_count: usize,
    /// The number of writes of seed rows so far.
    pub store_write_count: usize,
    first_port: u16,
    key: FleetKey,
    indices: BTreeMap<InstanceId, usize>,
    random: fastrand::Rng,
    /// The seed rows by availability zone and slot.
    rows: BTreeMap<(String, u8), SeedRow>,
    started: Instant,
    /// The answers of the store that are not delivered yet: when they are due, to which node, and the event.
    store_answers: Vec<(Instant, usize, MembershipEvent)>,
}

impl MembershipFleet {
    /// Creates a fleet of `size` nodes that aren't running yet, whose ports count up from the first.
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
            store_read_count: 0,
            store_write_count: 0,
        }
    }

    /// Returns whether in the view of each running node exactly the running nodes are living.
    #[must_use]
    pub fn agrees(&self) -> bool {
        self.agrees_among(&(0..self.nodes.len()).collect::<Vec<_>>())
    }

    /// Returns whether in the view of each running node among these exactly those nodes are living, and all
    /// their views have the same digest.
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

    /// Partitions the nodes with an index below `boundary` from the others: datagrams between them are dropped.
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

    /// Lets all nodes reach each other again after a partition.
    pub fn end_partition(&mut self) {
        for node in self.nodes.iter_mut().flatten() {
            node.cut_off.clear();
        }
    }

    /// Starts a new incarnation of a node, with an upstream of one service and an interest in the next one.
    ///
    /// # Panics
    ///
    /// Panics if the bench's own names are refused.
    pub fn start(&mut self, index: usize) {
        let address = self.address(index);
        let zone = index % ZONE_COUNT;
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

    /// Ends a node without notifying the others.
    pub fn crash(&mut self, index: usize) {
        self.nodes[index] = None;
    }

    /// Lets a node handle an event, unless it isn't running.
    pub fn handle_event(&mut self, index: usize, event: MembershipEvent) {
        let Some(node) = self.nodes[index].as_mut() else {
            return;
        };
        let actions = node.handle_event(event);
        self.perform(index, actions);
    }

    /// Lets the running nodes lose this share of the datagrams that they send from now on.
    pub fn set_lost_percent(&mut self, percent: u32) {
        for node in self.nodes.iter_mut().flatten() {
            node.lost_percent = percent;
        }
    }

    /// Returns whether any node still has updates to send.
    #[must_use]
    pub fn is_spreading(&self) -> bool {
        let mut nodes = self.nodes.iter().flatten();
        nodes.any(|node| node.core.pending_update_count() > 0)
    }

    /// Runs the fleet for a time.
    pub fn run(&mut self, duration: Duration) {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            self.poll();
        }
    }

    /// Runs the fleet until all views agree and returns the time that took, or `None` if they don't in time.
    pub fn run_until_agreed(&mut self, max_wait: Duration) -> Option<Duration> {
        self.run_until(max_wait, Self::agrees)
    }

    /// Runs the fleet until a condition holds and returns the time that took, or `None` if it doesn't in time.
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

    /// Returns the traffic of all running nodes with their indices.
    #[must_use]
    pub fn traffic(&self) -> Vec<(usize, MembershipTraffic)> {
        let running = self.nodes.iter().enumerate();
        running
            .filter_map(|(index, node)| node.as_ref().map(|node| (index, node.traffic)))
            .collect()
    }

    /// Performs a node's actions: records observations, and acts as the store, which writes a seed row only
    /// if it still holds the row to be replaced.
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
                    self.store_read_count += 1;
                    let zone = availability_zone.as_ref().map(ToString::to_string);
                    let rows = self.rows.values().filter(|row| {
                        let row_zone = row.availability_zone.as_str();
                        zone.as_ref().is_none_or(|zone| zone == row_zone)
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
                    self.store_write_count += 1;
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

    /// Delivers the store's answers that are due and polls each node that isn't paused, then pauses.
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
    let name = format!("service-{}", index % SERVICE_COUNT);
    name.parse().expect("a valid service name")
}
