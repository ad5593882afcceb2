//! A simulated fleet without a network: clients, entries, gates and targets on a simulated clock.

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

pub use scene::{Outcome, Policy, RequestKind, Scenario, capacity, map_read};

/// The interval in which gates report their load.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// The network delay between two instances, in one direction.
const ONE_WAY_DELAY: Duration = Duration::from_millis(1);

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive(usize),
    Expire(usize),
    ReachGate(usize),
    Report,
    RunEnd(usize),
}

struct Request {
    arrived: Duration,
    entry: usize,
    excluded: Vec<SocketAddr>,
    kind: usize,
    max_wait: Duration,
    target: usize,
    ticket: Option<u64>,
}

struct Simulation {
    arrivals: fastrand::Rng,
    start_time: Instant,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    gates: Vec<GateQueue>,
    next_event: u64,
    outcomes: Vec<Outcome>,
    policy: Policy,
    random: fastrand::Rng,
    report_number: u64,
    requests: Vec<Request>,
    scenario: Scenario,
    directories: Vec<Directory>,
    tickets: BTreeMap<(usize, u64), usize>,
    round_robin_counter: usize,
}

/// Simulates a scenario; the same seed gives the same arrivals.
pub fn simulate(scenario: &Scenario, policy: Policy, seed: u64) -> Vec<Outcome> {
    fastrand::seed(seed);
    let mut simulation = Simulation {
        arrivals: fastrand::Rng::with_seed(seed),
        start_time: Instant::now(),
        events: BinaryHeap::new(),
        gates: vec![GateQueue::new(scenario.slots); scenario.slowdowns.len()],
        next_event: 0,
        outcomes: vec![Outcome::default(); scenario.kinds.len()],
        policy,
        random: fastrand::Rng::with_seed(seed),
        report_number: 0,
        requests: Vec::new(),
        scenario: scenario.clone(),
        directories: (0..scenario.entries)
            .map(|_| Directory::new("z".into()))
            .collect(),
        tickets: BTreeMap::new(),
        round_robin_counter: 0,
    };
    simulation.push(Duration::ZERO, Event::Report);
    for kind in 0..scenario.kinds.len() {
        simulation.push(Duration::from_millis(10), Event::Arrive(kind));
    }
    while let Some(Reverse((at, _, event))) = simulation.events.pop() {
        simulation.step(at, event);
    }
    simulation.outcomes
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

impl Simulation {
    fn push(&mut self, at: Duration, event: Event) {
        self.next_event += 1;
        self.events.push(Reverse((at, self.next_event, event)));
    }

    fn step(&mut self, at: Duration, event: Event) {
        match event {
            Event::Arrive(kind) => self.arrive(at, kind),
            Event::Expire(request) => self.expire(at, request),
            Event::ReachGate(request) => self.reach_gate(at, request),
            Event::Report => self.report(at),
            Event::RunEnd(request) => self.run_end(at, request),
        }
    }

    fn is_lost(&self, at: Duration, target: usize) -> bool {
        self.scenario
            .lost
            .is_some_and(|(from, count)| at >= from && target < count)
    }

    fn report(&mut self, at: Duration) {
        self.report_number += 1;
        for target in 0..self.gates.len() {
            if self.is_lost(at, target) {
                continue;
            }
            let record = record(
                target,
                self.report_number,
                self.scenario.slots,
                self.load(target),
            );
            for directory in &mut self.directories {
                directory.receive_report(self.start_time + at, record.clone());
            }
        }
        if at < self.scenario.length {
            self.push(at + REPORT_INTERVAL, Event::Report);
        }
    }

    fn load(&self, target: usize) -> TargetLoad {
        TargetLoad {
            running_count: self.gates[target].running_count(),
            waiting_up_to_rank: TargetLoad::count_waiting(|rank| {
                self.gates[target].waiting_count(rank)
            }),
            ..TargetLoad::default()
        }
    }

    fn arrive(&mut self, at: Duration, kind: usize) {
        let entry = self.arrivals.usize(..self.scenario.entries);
        self.outcomes[kind].sent += 1;
        self.requests.push(Request {
            arrived: at,
            entry,
            excluded: Vec::new(),
            kind,
            max_wait: Duration::ZERO,
            target: 0,
            ticket: None,
        });
        self.send(at, self.requests.len() - 1);
        let factor = match self.scenario.burst {
            Some((from, to, factor)) if at >= from && at < to => factor,
            _ => 1.0,
        };
        let gap = -self.arrivals.f64().max(1e-9).ln() / (self.scenario.kinds[kind].per_s * factor);
        let next = at + Duration::from_secs_f64(gap);
        if next < self.scenario.length {
            self.push(next, Event::Arrive(kind));
        }
    }

    fn send(&mut self, at: Duration, request: usize) {
        let now = self.start_time + at;
        let kind = self.scenario.kinds[self.requests[request].kind];
        let wait_limit = match self.policy {
            Policy::Product => kind.target_latency.saturating_sub(kind.work),
            Policy::RoundRobin => kind.deadline.saturating_sub(kind.work),
        };
        let chosen = match self.policy {
            Policy::RoundRobin => {
                self.round_robin_counter += 1;
                Some((self.round_robin_counter % self.gates.len(), None))
            }
            Policy::Product => {
                let query = TargetQuery {
                    assumed_run_time: kind.work,
                    excluded: &self.requests[request].excluded,
                    rank: kind.rank,
                    route: RouteKey(u64::from(kind.rank)),
                    service: "skymap",
                    target_latency: kind.target_latency,
                };
                let directory = &mut self.directories[self.requests[request].entry];
                directory.choose(now, &query).map(|choice| {
                    if let Some(peer) = directory.peer_mut(choice.address) {
                        peer.in_flight += 1;
                    }
                    (usize::from(choice.address.port()) - 1_000, choice.max_wait)
                })
            }
        };
        let Some((target, max_wait)) = chosen else {
            return self.refuse(at, request);
        };
        self.requests[request].target = target;
        self.requests[request].max_wait =
            max_wait.map_or(wait_limit, |max_wait| max_wait.min(wait_limit));
        self.push(at + ONE_WAY_DELAY, Event::ReachGate(request));
    }

    fn reach_gate(&mut self, at: Duration, request: usize) {
        let Request {
            arrived,
            kind,
            max_wait,
            target,
            ..
        } = self.requests[request];
        if self.is_lost(at, target) {
            return self.retry_elsewhere(at, request);
        }
        let kind = self.scenario.kinds[kind];
        let now = self.start_time + at;
        let wait_limit = match self.policy {
            Policy::Product => (arrived + kind.target_latency).saturating_sub(at + kind.work),
            Policy::RoundRobin => (arrived + kind.deadline).saturating_sub(at + kind.work),
        };
        let latest_on_time_start = match self.policy {
            Policy::Product => now + wait_limit,
            Policy::RoundRobin => now,
        };
        let gate_request = GateRequest {
            latest_on_time_start,
            expected_run_time: kind.work.mul_f64(self.scenario.slowdowns[target]),
            latest_start: now + wait_limit,
            rank: kind.rank,
        };
        match self.gates[target].request_slot(now, gate_request, max_wait) {
            GateDecision::Refuse { .. } => self.retry_elsewhere(at, request),
            GateDecision::Start => self.start(at, request),
            GateDecision::Wait(ticket) => {
                self.requests[request].ticket = Some(ticket);
                self.tickets.insert((target, ticket), request);
                self.push(at + wait_limit, Event::Expire(request));
            }
        }
    }

    fn retry_elsewhere(&mut self, at: Duration, request: usize) {
        let target = self.requests[request].target;
        self.record_reply(at, request);
        self.requests[request].excluded.push(address(target));
        if self.policy == Policy::RoundRobin || self.requests[request].excluded.len() > 4 {
            return self.refuse(at, request);
        }
        self.send(at + ONE_WAY_DELAY, request);
    }

    fn refuse(&mut self, at: Duration, request: usize) {
        let outcome = &mut self.outcomes[self.requests[request].kind];
        outcome.refused += 1;
        let waited = at.saturating_sub(self.requests[request].arrived);
        outcome.longest_refused_wait = outcome.longest_refused_wait.max(waited);
    }

    fn expire(&mut self, at: Duration, request: usize) {
        let target = self.requests[request].target;
        let Some(ticket) = self.requests[request].ticket else {
            return;
        };
        if self.tickets.remove(&(target, ticket)).is_some() {
            self.gates[target].cancel(ticket);
            self.record_reply(at, request);
            self.refuse(at, request);
        }
    }

    fn start(&mut self, at: Duration, request: usize) {
        let Request { kind, target, .. } = self.requests[request];
        let variation = 0.7 + 0.6 * self.random.f64();
        let run = self.scenario.kinds[kind]
            .work
            .mul_f64(self.scenario.slowdowns[target] * variation);
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
        let request_kind = self.scenario.kinds[kind];
        let expected = request_kind.work.mul_f64(self.scenario.slowdowns[target]);
        self.gates[target].finish(expected);
        if !self.is_lost(at, target) {
            while let Some((ticket, _)) = self.gates[target].start_next(self.start_time + at) {
                if let Some(next) = self.tickets.remove(&(target, ticket)) {
                    self.start(at, next);
                }
            }
        }
        self.record_reply(at, request);
        if let Some(peer) = self.directories[entry].peer_mut(address(target)) {
            peer.record_run(
                RouteKey(u64::from(request_kind.rank)),
                expected,
                request_kind.work,
            );
        }
        let response_time = (at + ONE_WAY_DELAY).saturating_sub(arrived);
        let outcome = &mut self.outcomes[kind];
        if response_time <= request_kind.target_latency {
            outcome.in_time += 1;
        } else if response_time <= request_kind.deadline {
            outcome.late += 1;
        } else {
            outcome.refused += 1;
        }
    }

    /// Updates the entry's directory with the load in the gate's reply.
    fn record_reply(&mut self, at: Duration, request: usize) {
        let Request { entry, target, .. } = self.requests[request];
        let load = self.load(target);
        if let Some(peer) = self.directories[entry].peer_mut(address(target)) {
            peer.in_flight = peer.in_flight.saturating_sub(1);
            peer.update_load(self.start_time + at, load);
        }
    }
}

/// Returns whether a target that joins `after` the first report is chosen although a faster one has free slots.
pub fn joining_target_is_chosen(after: Duration) -> bool {
    const ASSUMED_RUN: Duration = Duration::from_millis(75);
    const SLOTS: u32 = 6;
    let route = RouteKey(1);
    let start = Instant::now();
    let mut directory = Directory::new("z".into());
    directory.receive_report(start, record(0, 1, SLOTS, TargetLoad::default()));
    for _ in 0..50 {
        let fast = directory.peer_mut(address(0)).unwrap();
        fast.record_run(route, ASSUMED_RUN / 2, ASSUMED_RUN);
    }
    let now = start + after;
    for target in 0..2 {
        directory.receive_report(now, record(target, 2, SLOTS, TargetLoad::default()));
    }
    let query = TargetQuery {
        assumed_run_time: ASSUMED_RUN,
        excluded: &[],
        rank: 1,
        route,
        service: "skymap",
        target_latency: ASSUMED_RUN * 3,
    };
    directory.choose(now, &query).unwrap().address == address(1)
}
