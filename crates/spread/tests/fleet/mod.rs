//! A few daemons joined by a simulated network, with a store that can fail. A daemon's core is its
//! [`medlarspool_spread::Spread`], and the harness is its edge.

mod faults;
mod node;
mod store;

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use fastrand::Rng;
use medlarspool_spread::{
    DeltaUpdate, FetchOutcome, FetchSource, LinkClass, Refusal, SpreadAction, SpreadEvent,
    SpreadMessage, SpreadPeer, SpreadSettings,
};
use medlarspool_types::{ConfigHead, InstanceId};

pub use self::{faults::Faults, node::Node, store::Store};

/// The most events that one call of [`Fleet::run`] may cause; more mean an endless loop.
const MAX_EVENTS: usize = 1_000_000;

/// The content of a fetch on its way to a daemon.
enum Content {
    Damaged,
    Updates(Vec<DeltaUpdate>),
    Whole { head: ConfigHead, lists: Vec<u8> },
}

/// What is delivered to a daemon after a delay.
///
/// Events and lists for an earlier incarnation of the daemon are dropped.
enum Delivery {
    Event {
        incarnation: u32,
        event: SpreadEvent,
    },
    Lists {
        content: Content,
        incarnation: u32,
        source: FetchSource,
    },
    Message {
        from: usize,
        head: ConfigHead,
        message: SpreadMessage,
    },
    Transfer {
        requester: usize,
        requester_incarnation: u32,
        base: Option<ConfigHead>,
        source: FetchSource,
    },
}

pub struct Fleet {
    pub faults: Faults,
    /// The number of messages that daemons sent.
    pub message_count: u64,
    pub nodes: Vec<Node>,
    /// The number of offers that daemons sent, by class of link.
    pub offer_counts: [u64; LinkClass::ALL.len()],
    pub now: Instant,
    pub store: Store,
    deliveries: BTreeMap<(Instant, u64), (usize, Delivery)>,
    random: Rng,
    sequence: u64,
    settings: SpreadSettings,
}

impl Fleet {
    /// Starts a fleet; the daemons are spread over `zone_count` availability zones, and these over two regions.
    pub fn new(
        daemon_count: usize,
        zone_count: usize,
        settings: SpreadSettings,
        seed: u64,
    ) -> Self {
        let mut fleet = Self {
            faults: Faults::default(),
            message_count: 0,
            nodes: (0..daemon_count)
                .map(|index| Node::new(index, zone_count))
                .collect(),
            offer_counts: [0; LinkClass::ALL.len()],
            now: Instant::now(),
            store: Store::default(),
            deliveries: BTreeMap::new(),
            random: Rng::with_seed(seed),
            sequence: 0,
            settings,
        };
        for index in 0..daemon_count {
            fleet.start(index);
        }
        fleet
    }

    pub fn start(&mut self, index: usize) {
        let seed = self.random.u64(..);
        self.nodes[index].start(self.settings.clone(), seed, self.now);
        // A process starts before it knows of its peers.
        self.handle_event(index, SpreadEvent::Tick);
        self.announce_peers();
    }

    pub fn kill(&mut self, index: usize) {
        self.nodes[index].kill();
        self.announce_peers();
    }

    /// Damages the lists that a daemon holds and reports the failed check to it.
    pub fn damage(&mut self, index: usize) {
        if let Some(lists) = self.nodes[index].holder.load_full() {
            let mut lists = lists.to_vec();
            lists[3] ^= 0x55;
            let head = self.nodes[index].holder.head();
            self.nodes[index]
                .holder
                .swap_if_newer(head, lists.into())
                .unwrap();
            let intact = self.nodes[index].is_intact();
            self.nodes[index].holds_damaged_lists = !intact;
            self.handle_event(index, SpreadEvent::Verified { intact });
        }
    }

    /// Passes to every daemon the list of live daemons that it can reach.
    pub fn announce_peers(&mut self) {
        let live: Vec<SpreadPeer> = self
            .nodes
            .iter()
            .filter(|node| node.core.is_some())
            .map(|node| node.peer.clone())
            .collect();
        for index in 0..self.nodes.len() {
            let reachable = live
                .iter()
                .filter(|peer| !self.faults.is_cut(&self.nodes[index].peer, peer))
                .cloned()
                .collect();
            self.handle_event(index, SpreadEvent::PeersChanged(reachable));
        }
    }

    /// Advances the clock by `duration` and handles all deliveries and wakeups that are due until then.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        for _ in 0..MAX_EVENTS {
            let delivery_at = self.deliveries.keys().next().map(|key| key.0);
            let wakeup = self.nodes.iter().filter_map(Node::wakeup).min();
            let next = [delivery_at, wakeup].into_iter().flatten().min();
            let Some(next) = next.filter(|next| *next <= end) else {
                self.now = end;
                return;
            };
            self.now = self.now.max(next);
            if delivery_at == Some(next) {
                let (_, (to, delivery)) = self.deliveries.pop_first().unwrap();
                self.deliver(to, delivery);
            } else {
                self.tick();
            }
        }
        panic!("the fleet handles events without end");
    }

    pub fn all_hold(&self, head: ConfigHead) -> bool {
        self.live().all(|node| node.holder.head() == head)
    }

    pub fn live(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| node.core.is_some())
    }

    fn tick(&mut self) {
        for index in 0..self.nodes.len() {
            if self.nodes[index]
                .wakeup()
                .is_some_and(|due| due <= self.now)
            {
                self.handle_event(index, SpreadEvent::Tick);
            }
        }
    }

    /// Passes one event to a core and carries out the actions that it returns.
    pub fn handle_event(&mut self, index: usize, event: SpreadEvent) {
        let mut actions = Vec::new();
        if let Some(core) = &mut self.nodes[index].core {
            core.handle(self.now, event, &mut actions);
        }
        for action in actions {
            self.carry_out(index, action);
        }
        self.nodes[index].check_invariants(&self.store);
    }

    fn deliver(&mut self, to: usize, delivery: Delivery) {
        match delivery {
            Delivery::Event { incarnation, event } => {
                if incarnation == self.nodes[to].incarnation {
                    self.handle_event(to, event);
                }
            }
            Delivery::Lists {
                content,
                incarnation,
                source,
            } => {
                if incarnation == self.nodes[to].incarnation {
                    let outcome = self.receive(to, content);
                    self.post_fetched(to, source, outcome);
                }
            }
            Delivery::Message {
                from,
                head,
                message,
            } => {
                let peer = &self.nodes[from].peer;
                let event = SpreadEvent::Message {
                    address: peer.address,
                    from: peer.instance.clone(),
                    head,
                    message,
                };
                self.handle_event(to, event);
            }
            Delivery::Transfer {
                requester,
                requester_incarnation,
                base,
                source,
            } => self.transfer(to, requester, requester_incarnation, base, &source),
        }
    }

    fn carry_out(&mut self, index: usize, action: SpreadAction) {
        match action {
            SpreadAction::Apply { source, updates } => {
                let outcome = self.nodes[index].apply(&updates);
                self.post_fetched(index, source, outcome);
            }
            SpreadAction::Fetch { base, head, source } => self.fetch(index, base, head, source),
            SpreadAction::ReadHead => {
                let event = match self.store.read_head() {
                    Some(head) => SpreadEvent::HeadRead(head),
                    None => SpreadEvent::HeadReadFailed,
                };
                self.post_event(index, event);
            }
            SpreadAction::Send {
                address,
                link,
                message,
            } => {
                if let SpreadMessage::Offer { .. } = message {
                    self.offer_counts[link as usize] += 1;
                }
                self.send(index, usize::from(address.port()), &message);
            }
            SpreadAction::TransferBusy { .. } | SpreadAction::TransferGranted { .. } => {
                unreachable!("transfers are answered where they are asked")
            }
            SpreadAction::Verify => {
                let intact = self.nodes[index].is_intact();
                self.post_event(index, SpreadEvent::Verified { intact });
            }
        }
    }

    fn fetch(
        &mut self,
        index: usize,
        base: Option<ConfigHead>,
        head: ConfigHead,
        source: FetchSource,
    ) {
        match &source {
            FetchSource::Offer(_) => unreachable!("an offer is applied, not fetched"),
            FetchSource::Peer(peer) => {
                let to = usize::from(peer.address.port());
                let delivery = Delivery::Transfer {
                    requester: index,
                    requester_incarnation: self.nodes[index].incarnation,
                    base,
                    source: source.clone(),
                };
                let reachable = !self.faults.is_cut(&self.nodes[index].peer, peer);
                if reachable && self.nodes[to].core.is_some() {
                    self.post(to, delivery);
                } else {
                    self.post_fetched(index, source, FetchOutcome::Failed);
                }
            }
            FetchSource::Store => {
                let Some(lists) = self.store.read_lists(head) else {
                    return self.post_fetched(index, source, FetchOutcome::Failed);
                };
                let delivery = Delivery::Lists {
                    content: Content::Whole { head, lists },
                    incarnation: self.nodes[index].incarnation,
                    source,
                };
                self.post(index, delivery);
            }
        }
    }

    /// Requests a transfer from `sender` and posts its answer to `requester`.
    fn transfer(
        &mut self,
        sender: usize,
        requester: usize,
        requester_incarnation: u32,
        base: Option<ConfigHead>,
        source: &FetchSource,
    ) {
        let mut actions = Vec::new();
        if let Some(core) = &mut self.nodes[sender].core {
            let request_id = 1;
            let event = SpreadEvent::TransferRequested { base, request_id };
            core.handle(self.now, event, &mut actions);
        }
        for action in actions {
            match action {
                SpreadAction::TransferBusy { retry_after, .. } => {
                    if self.nodes[requester].incarnation == requester_incarnation {
                        let outcome = FetchOutcome::Busy { retry_after };
                        self.post_fetched(requester, source.clone(), outcome);
                    }
                }
                SpreadAction::TransferGranted { updates, .. } => {
                    self.post_event(sender, SpreadEvent::TransferEnded);
                    let delivery = Delivery::Lists {
                        content: self.content(sender, updates),
                        incarnation: requester_incarnation,
                        source: source.clone(),
                    };
                    self.post(requester, delivery);
                }
                other => self.carry_out(sender, other),
            }
        }
    }

    fn content(&mut self, sender: usize, updates: Option<Vec<DeltaUpdate>>) -> Content {
        if self.random.f64() < self.faults.damage_probability {
            return Content::Damaged;
        }
        let whole = || Content::Whole {
            head: self.nodes[sender].holder.head(),
            lists: self.nodes[sender].holder.load_full().unwrap().to_vec(),
        };
        updates.map_or_else(whole, Content::Updates)
    }

    fn receive(&mut self, index: usize, content: Content) -> FetchOutcome {
        match content {
            Content::Damaged => FetchOutcome::Refused(Refusal::Damaged),
            Content::Updates(updates) => self.nodes[index].apply(&updates),
            Content::Whole { head, lists } => {
                self.nodes[index].apply_whole(head, lists, &self.store)
            }
        }
    }

    fn post_fetched(&mut self, index: usize, source: FetchSource, outcome: FetchOutcome) {
        let head = self.nodes[index].holder.head();
        let event = SpreadEvent::Fetched {
            head,
            outcome,
            source,
        };
        self.post_event(index, event);
    }

    fn send(&mut self, from: usize, to: usize, message: &SpreadMessage) {
        self.message_count += 1;
        let Some(core) = &self.nodes[from].core else {
            return;
        };
        let head = core.announced_head();
        if self
            .faults
            .is_cut(&self.nodes[from].peer, &self.nodes[to].peer)
        {
            return;
        }
        for _ in 0..self.faults.copies(&mut self.random) {
            let message = self.faults.damaged(message.clone(), &mut self.random);
            self.post(
                to,
                Delivery::Message {
                    from,
                    head,
                    message,
                },
            );
        }
    }

    fn post_event(&mut self, index: usize, event: SpreadEvent) {
        let incarnation = self.nodes[index].incarnation;
        self.post(index, Delivery::Event { incarnation, event });
    }

    fn post(&mut self, to: usize, delivery: Delivery) {
        let delivery_at = self.now + self.faults.delay(&mut self.random);
        self.sequence += 1;
        self.deliveries
            .insert((delivery_at, self.sequence), (to, delivery));
    }
}

/// Returns the instance id of a daemon of the fleet.
pub fn instance(index: usize) -> InstanceId {
    format!("daemon-{index}").parse().unwrap()
}
