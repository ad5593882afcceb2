//! A handful of cores joined by an in-memory queue, with a store that can be down.

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

/// The most events that one step of the clock may cause; more would be a loop.
const MAX_EVENTS: usize = 1_000_000;

/// Lists on their way.
enum Content {
    Damaged,
    Updates(Vec<DeltaUpdate>),
    Whole { head: ConfigHead, lists: Vec<u8> },
}

enum Parcel {
    Event {
        life: u32,
        event: SpreadEvent,
    },
    Lists {
        content: Content,
        life: u32,
        source: FetchSource,
    },
    Message {
        from: usize,
        head: ConfigHead,
        message: SpreadMessage,
    },
    Transfer {
        asker: usize,
        asker_life: u32,
        base: Option<ConfigHead>,
        source: FetchSource,
    },
}

pub struct Fleet {
    pub faults: Faults,
    pub messages: u64,
    pub nodes: Vec<Node>,
    pub offers: [u64; LinkClass::ALL.len()],
    pub now: Instant,
    pub store: Store,
    parcels: BTreeMap<(Instant, u64), (usize, Parcel)>,
    random: Rng,
    sequence: u64,
    settings: SpreadSettings,
}

impl Fleet {
    /// Builds a fleet of `zones` availability zones in two regions, in turn.
    pub fn new(daemons: usize, zones: usize, settings: SpreadSettings, seed: u64) -> Self {
        let mut fleet = Self {
            faults: Faults::default(),
            messages: 0,
            nodes: (0..daemons).map(|at| Node::new(at, zones)).collect(),
            offers: [0; LinkClass::ALL.len()],
            now: Instant::now(),
            store: Store::default(),
            parcels: BTreeMap::new(),
            random: Rng::with_seed(seed),
            sequence: 0,
            settings,
        };
        for at in 0..daemons {
            fleet.start(at);
        }
        fleet
    }

    pub fn start(&mut self, at: usize) {
        let seed = self.random.u64(..);
        self.nodes[at].start(self.settings.clone(), seed, self.now);
        // A process begins before it hears of its peers.
        self.give(at, SpreadEvent::Tick);
        self.announce_peers();
    }

    pub fn kill(&mut self, at: usize) {
        self.nodes[at].kill();
        self.announce_peers();
    }

    /// Damages the lists that a daemon holds and lets it find out.
    pub fn damage(&mut self, at: usize) {
        if let Some(lists) = self.nodes[at].holder.load_full() {
            let mut lists = lists.to_vec();
            lists[3] ^= 0x55;
            let head = self.nodes[at].holder.head();
            self.nodes[at]
                .holder
                .swap_if_newer(head, lists.into())
                .unwrap();
            let intact = self.nodes[at].is_intact();
            self.nodes[at].injured = !intact;
            self.give(at, SpreadEvent::Verified { intact });
        }
    }

    /// Tells every live daemon who else lives.
    pub fn announce_peers(&mut self) {
        let live: Vec<SpreadPeer> = self
            .nodes
            .iter()
            .filter(|node| node.core.is_some())
            .map(|node| node.peer.clone())
            .collect();
        for at in 0..self.nodes.len() {
            let seen = live
                .iter()
                .filter(|peer| !self.faults.is_cut(&self.nodes[at].peer, peer))
                .cloned()
                .collect();
            self.give(at, SpreadEvent::PeersChanged(seen));
        }
    }

    /// Moves the clock and lets everything happen that falls due.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        for _ in 0..MAX_EVENTS {
            let parcel_at = self.parcels.keys().next().map(|key| key.0);
            let wakeup = self.nodes.iter().filter_map(Node::wakeup).min();
            let next = [parcel_at, wakeup].into_iter().flatten().min();
            let Some(next) = next.filter(|next| *next <= end) else {
                self.now = end;
                return;
            };
            self.now = self.now.max(next);
            if parcel_at == Some(next) {
                let (_, (to, parcel)) = self.parcels.pop_first().unwrap();
                self.deliver(to, parcel);
            } else {
                self.tick();
            }
        }
        panic!("the fleet is busy without end");
    }

    pub fn all_hold(&self, head: ConfigHead) -> bool {
        self.live().all(|node| node.holder.head() == head)
    }

    pub fn live(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| node.core.is_some())
    }

    fn tick(&mut self) {
        for at in 0..self.nodes.len() {
            if self.nodes[at].wakeup().is_some_and(|due| due <= self.now) {
                self.give(at, SpreadEvent::Tick);
            }
        }
    }

    /// Gives one event to a core and carries out what it asks for.
    pub fn give(&mut self, at: usize, event: SpreadEvent) {
        let mut actions = Vec::new();
        if let Some(core) = &mut self.nodes[at].core {
            core.handle(self.now, event, &mut actions);
        }
        for action in actions {
            self.act(at, action);
        }
        self.nodes[at].check(&self.store);
    }

    fn deliver(&mut self, to: usize, parcel: Parcel) {
        match parcel {
            Parcel::Event { life, event } => {
                if life == self.nodes[to].life {
                    self.give(to, event);
                }
            }
            Parcel::Lists {
                content,
                life,
                source,
            } => {
                if life == self.nodes[to].life {
                    let outcome = self.receive(to, content);
                    self.finish(to, source, outcome);
                }
            }
            Parcel::Message {
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
                self.give(to, event);
            }
            Parcel::Transfer {
                asker,
                asker_life,
                base,
                source,
            } => self.transfer(to, asker, asker_life, base, &source),
        }
    }

    fn act(&mut self, at: usize, action: SpreadAction) {
        match action {
            SpreadAction::Apply { source, updates } => {
                let outcome = self.nodes[at].apply(&updates);
                self.finish(at, source, outcome);
            }
            SpreadAction::Fetch { base, head, source } => self.fetch(at, base, head, source),
            SpreadAction::ReadHead => {
                let event = match self.store.read_head() {
                    Some(head) => SpreadEvent::HeadRead(head),
                    None => SpreadEvent::HeadReadFailed,
                };
                self.post_event(at, event);
            }
            SpreadAction::Send {
                address,
                link,
                message,
            } => {
                if let SpreadMessage::Offer { .. } = message {
                    self.offers[link as usize] += 1;
                }
                self.send(at, usize::from(address.port()), &message);
            }
            SpreadAction::TransferBusy { .. } | SpreadAction::TransferGranted { .. } => {
                unreachable!("transfers are answered where they are asked")
            }
            SpreadAction::Verify => {
                let intact = self.nodes[at].is_intact();
                self.post_event(at, SpreadEvent::Verified { intact });
            }
        }
    }

    fn fetch(
        &mut self,
        at: usize,
        base: Option<ConfigHead>,
        head: ConfigHead,
        source: FetchSource,
    ) {
        match &source {
            FetchSource::Offer(_) => unreachable!("an offer is applied, not fetched"),
            FetchSource::Peer(peer) => {
                let to = usize::from(peer.address.port());
                let parcel = Parcel::Transfer {
                    asker: at,
                    asker_life: self.nodes[at].life,
                    base,
                    source: source.clone(),
                };
                let reachable = !self.faults.is_cut(&self.nodes[at].peer, peer);
                if reachable && self.nodes[to].core.is_some() {
                    self.post(to, parcel);
                } else {
                    self.finish(at, source, FetchOutcome::Failed);
                }
            }
            FetchSource::Store => {
                let Some(lists) = self.store.read_lists(head) else {
                    return self.finish(at, source, FetchOutcome::Failed);
                };
                let parcel = Parcel::Lists {
                    content: Content::Whole { head, lists },
                    life: self.nodes[at].life,
                    source,
                };
                self.post(at, parcel);
            }
        }
    }

    fn transfer(
        &mut self,
        giver: usize,
        asker: usize,
        asker_life: u32,
        base: Option<ConfigHead>,
        source: &FetchSource,
    ) {
        let mut actions = Vec::new();
        if let Some(core) = &mut self.nodes[giver].core {
            let ticket = 1;
            let event = SpreadEvent::TransferRequested { base, ticket };
            core.handle(self.now, event, &mut actions);
        }
        for action in actions {
            match action {
                SpreadAction::TransferBusy { retry_after, .. } => {
                    if self.nodes[asker].life == asker_life {
                        let outcome = FetchOutcome::Busy { retry_after };
                        self.finish(asker, source.clone(), outcome);
                    }
                }
                SpreadAction::TransferGranted { updates, .. } => {
                    self.post_event(giver, SpreadEvent::TransferEnded);
                    let parcel = Parcel::Lists {
                        content: self.content(giver, updates),
                        life: asker_life,
                        source: source.clone(),
                    };
                    self.post(asker, parcel);
                }
                other => self.act(giver, other),
            }
        }
    }

    fn content(&mut self, giver: usize, updates: Option<Vec<DeltaUpdate>>) -> Content {
        if self.random.f64() < self.faults.damage {
            return Content::Damaged;
        }
        let whole = || Content::Whole {
            head: self.nodes[giver].holder.head(),
            lists: self.nodes[giver].holder.load_full().unwrap().to_vec(),
        };
        updates.map_or_else(whole, Content::Updates)
    }

    fn receive(&mut self, at: usize, content: Content) -> FetchOutcome {
        match content {
            Content::Damaged => FetchOutcome::Refused(Refusal::Damaged),
            Content::Updates(updates) => self.nodes[at].apply(&updates),
            Content::Whole { head, lists } => self.nodes[at].take_whole(head, lists, &self.store),
        }
    }

    fn finish(&mut self, at: usize, source: FetchSource, outcome: FetchOutcome) {
        let head = self.nodes[at].holder.head();
        let event = SpreadEvent::Fetched {
            head,
            outcome,
            source,
        };
        self.post_event(at, event);
    }

    fn send(&mut self, from: usize, to: usize, message: &SpreadMessage) {
        self.messages += 1;
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
                Parcel::Message {
                    from,
                    head,
                    message,
                },
            );
        }
    }

    fn post_event(&mut self, at: usize, event: SpreadEvent) {
        let life = self.nodes[at].life;
        self.post(at, Parcel::Event { life, event });
    }

    fn post(&mut self, to: usize, parcel: Parcel) {
        let at = self.now + self.faults.delay(&mut self.random);
        self.sequence += 1;
        self.parcels.insert((at, self.sequence), (to, parcel));
    }
}

/// Names a daemon of the fleet.
pub fn instance(at: usize) -> InstanceId {
    format!("daemon-{at}").parse().unwrap()
}
