//! A counted fleet without a network: clients, entries, gates and targets on a clock that is moved.

mod scene;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    net::SocketAddr,
    time::{Duration, Instant},
};

use medlarspool_mesh::{
    AnnouncedState, Directory, GateDecision, GateQueue, GateRequest, PeerRecord, RouteKey,
    TargetLoad, TargetQuery, TargetRecord,
};

pub use scene::{Kind, Outcome, Policy, Scene, capacity, map_read};

/// How often gates report their load.
const REPORT: Duration = Duration::from_millis(500);

/// One way between instances.
const HOP: Duration = Duration::from_millis(1);

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive(usize),
    Expire(usize),
    Offer(usize),
    Report,
    RunEnd(usize),
}

struct Request {
    arrived: Duration,
    entry: usize,
    excluded: Vec<SocketAddr>,
    kind: usize,
    patience: Duration,
    target: usize,
    ticket: Option<u64>,
}

struct World {
    arrivals: fastrand::Rng,
    clock: Instant,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    gates: Vec<GateQueue>,
    next_event: u64,
    outcomes: Vec<Outcome>,
    policy: Policy,
    random: fastrand::Rng,
    reports: u64,
    requests: Vec<Request>,
    scene: Scene,
    tables: Vec<Directory>,
    tickets: BTreeMap<(usize, u64), usize>,
    turn: usize,
}

/// Plays a scene; the same seed plays the same arrivals.
pub fn play(scene: &Scene, policy: Policy, seed: u64) -> Vec<Outcome> {
    fastrand::seed(seed);
    let mut world = World {
        arrivals: fastrand::Rng::with_seed(seed),
        clock: Instant::now(),
        events: BinaryHeap::new(),
        gates: vec![GateQueue::new(scene.slots); scene.speeds.len()],
        next_event: 0,
        outcomes: vec![Outcome::default(); scene.kinds.len()],
        policy,
        random: fastrand::Rng::with_seed(seed),
        reports: 0,
        requests: Vec::new(),
        scene: scene.clone(),
        tables: (0..scene.entries)
            .map(|_| Directory::new("z".into()))
            .collect(),
        tickets: BTreeMap::new(),
        turn: 0,
    };
    world.push(Duration::ZERO, Event::Report);
    for kind in 0..scene.kinds.len() {
        world.push(Duration::from_millis(10), Event::Arrive(kind));
    }
    while let Some(Reverse((at, _, event))) = world.events.pop() {
        world.step(at, event);
    }
    world.outcomes
}

fn address(target: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + u16::try_from(target).unwrap()))
}

fn record(target: usize, report: u64, slots: u32, load: TargetLoad) -> PeerRecord {
    PeerRecord {
        address: address(target),
        availability_zone: "z".into(),
        config_version: 1,
        incarnation: 1,
        load,
        relays_config: false,
        report_number: report,
        serving: true,
        target: Some(TargetRecord {
            born_ms: 1,
            id: format!("i-{target}").into(),
            sequence: 1,
            service: "skymap".into(),
            slots,
            state: AnnouncedState::Ready,
        }),
    }
}

impl World {
    fn push(&mut self, at: Duration, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at, self.next_event, event)));
    }

    fn step(&mut self, at: Duration, event: Event) {
        match event {
            Event::Arrive(kind) => self.arrive(at, kind),
            Event::Expire(request) => self.expire(at, request),
            Event::Offer(request) => self.offer(at, request),
            Event::Report => self.report(at),
            Event::RunEnd(request) => self.run_end(at, request),
        }
    }

    fn is_lost(&self, at: Duration, target: usize) -> bool {
        self.scene
            .lost
            .is_some_and(|(from, count)| at >= from && target < count)
    }

    fn report(&mut self, at: Duration) {
        self.reports += 1;
        for target in 0..self.gates.len() {
            if self.is_lost(at, target) {
                continue;
            }
            let record = record(target, self.reports, self.scene.slots, self.load(target));
            for table in &mut self.tables {
                table.receive_report(self.clock + at, record.clone());
            }
        }
        if at < self.scene.length {
            self.push(at + REPORT, Event::Report);
        }
    }

    fn load(&self, target: usize) -> TargetLoad {
        TargetLoad {
            running: self.gates[target].running(),
            waiting_up_to_rank: TargetLoad::count_waiting(|rank| self.gates[target].waiting(rank)),
            ..TargetLoad::default()
        }
    }

    fn arrive(&mut self, at: Duration, kind: usize) {
        let entry = self.arrivals.usize(..self.scene.entries);
        self.outcomes[kind].asked += 1;
        self.requests.push(Request {
            arrived: at,
            entry,
            excluded: Vec::new(),
            kind,
            patience: Duration::ZERO,
            target: 0,
            ticket: None,
        });
        self.send(at, self.requests.len() - 1);
        let times = match self.scene.burst {
            Some((from, to, times)) if at >= from && at < to => times,
            _ => 1.0,
        };
        let gap = -self.arrivals.f64().max(1e-9).ln() / (self.scene.kinds[kind].per_s * times);
        let next = at + Duration::from_secs_f64(gap);
        if next < self.scene.length {
            self.push(next, Event::Arrive(kind));
        }
    }

    fn send(&mut self, at: Duration, request: usize) {
        let now = self.clock + at;
        let kind = self.scene.kinds[self.requests[request].kind];
        let most = match self.policy {
            Policy::Product => kind.target_latency.saturating_sub(kind.work),
            Policy::InTurn => kind.deadline.saturating_sub(kind.work),
        };
        let chosen = match self.policy {
            Policy::InTurn => {
                self.turn += 1;
                Some((self.turn % self.gates.len(), None))
            }
            Policy::Product => {
                let query = TargetQuery {
                    assumed_run: kind.work,
                    excluded: &self.requests[request].excluded,
                    rank: kind.rank,
                    route: RouteKey(u64::from(kind.rank)),
                    service: "skymap",
                    target_latency: kind.target_latency,
                };
                let table = &mut self.tables[self.requests[request].entry];
                table.choose(now, &query).map(|choice| {
                    if let Some(peer) = table.peer_mut(choice.address) {
                        peer.in_flight += 1;
                    }
                    (usize::from(choice.address.port()) - 1_000, choice.max_wait)
                })
            }
        };
        let Some((target, patience)) = chosen else {
            return self.refuse(at, request);
        };
        self.requests[request].target = target;
        self.requests[request].patience = patience.map_or(most, |patience| patience.min(most));
        self.push(at + HOP, Event::Offer(request));
    }

    fn offer(&mut self, at: Duration, request: usize) {
        let Request {
            arrived,
            kind,
            patience,
            target,
            ..
        } = self.requests[request];
        if self.is_lost(at, target) {
            return self.turned_away(at, request);
        }
        let kind = self.scene.kinds[kind];
        let now = self.clock + at;
        let most = match self.policy {
            Policy::Product => (arrived + kind.target_latency).saturating_sub(at + kind.work),
            Policy::InTurn => (arrived + kind.deadline).saturating_sub(at + kind.work),
        };
        let latest_on_time_start = match self.policy {
            Policy::Product => now + most,
            Policy::InTurn => now,
        };
        let work = GateRequest {
            latest_on_time_start,
            expected_run: kind.work.mul_f64(self.scene.speeds[target]),
            latest_start: now + most,
            rank: kind.rank,
        };
        match self.gates[target].request_slot(now, work, patience) {
            GateDecision::Refuse { .. } => self.turned_away(at, request),
            GateDecision::Start => self.start(at, request),
            GateDecision::Wait(ticket) => {
                self.requests[request].ticket = Some(ticket);
                self.tickets.insert((target, ticket), request);
                self.push(at + most, Event::Expire(request));
            }
        }
    }

    fn turned_away(&mut self, at: Duration, request: usize) {
        let target = self.requests[request].target;
        self.answered(at, request);
        self.requests[request].excluded.push(address(target));
        if self.policy == Policy::InTurn || self.requests[request].excluded.len() > 4 {
            return self.refuse(at, request);
        }
        self.send(at + HOP, request);
    }

    fn refuse(&mut self, at: Duration, request: usize) {
        let outcome = &mut self.outcomes[self.requests[request].kind];
        outcome.refused += 1;
        let held = at.saturating_sub(self.requests[request].arrived);
        outcome.longest_refused_wait = outcome.longest_refused_wait.max(held);
    }

    fn expire(&mut self, at: Duration, request: usize) {
        let target = self.requests[request].target;
        let Some(ticket) = self.requests[request].ticket else {
            return;
        };
        if self.tickets.remove(&(target, ticket)).is_some() {
            self.gates[target].cancel(ticket);
            self.answered(at, request);
            self.refuse(at, request);
        }
    }

    fn start(&mut self, at: Duration, request: usize) {
        let Request { kind, target, .. } = self.requests[request];
        let spread = 0.7 + 0.6 * self.random.f64();
        let run = self.scene.kinds[kind]
            .work
            .mul_f64(self.scene.speeds[target] * spread);
        self.push(at + run, Event::RunEnd(request));
    }

    fn run_end(&mut self, at: Duration, request: usize) {
        let Request {
            arrived,
            entry,
            kind,
            target,
            ..
        } = self.requests[request];
        let sort = self.scene.kinds[kind];
        let expected = sort.work.mul_f64(self.scene.speeds[target]);
        self.gates[target].finish(expected);
        if !self.is_lost(at, target) {
            while let Some((ticket, _)) = self.gates[target].start_next(self.clock + at) {
                if let Some(next) = self.tickets.remove(&(target, ticket)) {
                    self.start(at, next);
                }
            }
        }
        self.answered(at, request);
        if let Some(peer) = self.tables[entry].peer_mut(address(target)) {
            peer.record_run(RouteKey(u64::from(sort.rank)), expected, sort.work);
        }
        let took = (at + HOP).saturating_sub(arrived);
        let outcome = &mut self.outcomes[kind];
        if took <= sort.target_latency {
            outcome.in_time += 1;
        } else if took <= sort.deadline {
            outcome.late += 1;
        } else {
            outcome.refused += 1;
        }
    }

    /// Takes in at the entry what an answer tells of the gate's load.
    fn answered(&mut self, at: Duration, request: usize) {
        let Request { entry, target, .. } = self.requests[request];
        let load = self.load(target);
        if let Some(peer) = self.tables[entry].peer_mut(address(target)) {
            peer.in_flight = peer.in_flight.saturating_sub(1);
            peer.update_load(self.clock + at, load);
        }
    }
}

/// Returns whether a target that appears `after` the first report is chosen beside a faster one that has room.
pub fn joiner_is_chosen(after: Duration) -> bool {
    const ASSUMED: Duration = Duration::from_millis(75);
    const SLOTS: u32 = 6;
    let route = RouteKey(1);
    let start = Instant::now();
    let mut table = Directory::new("z".into());
    table.receive_report(start, record(0, 1, SLOTS, TargetLoad::default()));
    for _ in 0..50 {
        let fast = table.peer_mut(address(0)).unwrap();
        fast.record_run(route, ASSUMED / 2, ASSUMED);
    }
    let now = start + after;
    for target in 0..2 {
        table.receive_report(now, record(target, 2, SLOTS, TargetLoad::default()));
    }
    let query = TargetQuery {
        assumed_run: ASSUMED,
        excluded: &[],
        rank: 1,
        route,
        service: "skymap",
        target_latency: ASSUMED * 3,
    };
    table.choose(now, &query).unwrap().address == address(1)
}
