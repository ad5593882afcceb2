use std::time::{Duration, Instant};

use medlarspool_calls::{
    CallOutcome, FailedAttempt, GateAction, GateWork, LoadReport, RetryBudget, RetryDecision,
    RetryPolicy,
};
use medlarspool_types::{ServiceName, Verdict};

use crate::{
    CallsFault, CallsReport, CallsScenario, QueuePolicy, RetryMode,
    calls_draws::CallsDraws,
    calls_entry::Entry,
    calls_event::{Event, Reply},
    calls_events::CallsEvents,
    calls_names::{customer, id, index, name},
    calls_request::{Request, Try},
    calls_tally::CallsTally,
    calls_upstream::CallsUpstream,
};

/// How long a caller waits.
const PATIENCE: Duration = Duration::from_secs(2);
/// How long an entry waits for a sign of life on an open connection.
const SILENCE: Duration = Duration::from_secs(1);
/// How long an entry waits for a new connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// How long membership takes to declare an upstream dead.
const DECLARED_DEAD: Duration = Duration::from_secs(3);
/// The time between two wake-ups of a gate.
const WAKE: Duration = Duration::from_millis(50);
/// The time of a message within a zone.
const NEAR: Duration = Duration::from_micros(100);
/// Replays arrivals against the real decisions under a passed-in clock.
///
/// It is a queueing model of calls only: entries, gates and run times. Same seed, same counts.
#[derive(Debug)]
pub struct CallsModel {
    draws: CallsDraws,
    entries: Vec<Entry>,
    events: CallsEvents,
    now: Instant,
    requests: Vec<Request>,
    retry: RetryPolicy,
    scenario: CallsScenario,
    services: Vec<ServiceName>,
    start: Instant,
    tally: CallsTally,
    tries: Vec<Try>,
    upstreams: Vec<CallsUpstream>,
}

impl CallsModel {
    /// Runs a scenario to its end.
    #[must_use]
    pub fn run(mut scenario: CallsScenario) -> CallsReport {
        scenario.policies.adjust(&mut scenario.settings);
        let mut model = Self::new(scenario);
        model.prepare();
        while let Some((at, event)) = model.events.pop() {
            model.now = at;
            model.handle(event);
        }
        model.tally.sum_up(&model.upstreams, &model.requests)
    }

    fn new(scenario: CallsScenario) -> Self {
        let start = Instant::now();
        let upstreams = CallsUpstream::all(&scenario, start);
        let services: Vec<ServiceName> = (0..scenario.deployment.services.len())
            .map(|service| name(&format!("s{service}")))
            .collect();
        let zones = scenario.deployment.zones;
        let entries = (0..scenario.deployment.entries)
            .map(|number| Entry::new(&scenario, &services, &upstreams, number % zones, start));
        Self {
            draws: CallsDraws::new(scenario.seed),
            entries: entries.collect(),
            events: CallsEvents::default(),
            now: start,
            requests: Vec::new(),
            retry: RetryPolicy::new(&scenario.settings),
            services,
            start,
            tally: CallsTally::new(&scenario, start),
            tries: Vec::new(),
            upstreams,
            scenario,
        }
    }

    fn prepare(&mut self) {
        for service in 0..self.services.len() {
            self.schedule(Duration::ZERO, Event::Arrive { service });
        }
        for upstream in 0..self.upstreams.len() {
            self.schedule(WAKE, Event::Wake { upstream });
        }
        self.schedule(self.scenario.fault_at(), Event::Fault);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { service } => self.arrive(service),
            Event::Cancel { call } => {
                let upstream = self.tries[call].upstream;
                self.upstreams[upstream].gate.cancel(id(call));
            }
            Event::Deadline { request } => self.pass_deadline(request),
            Event::DeclareDead => self.declare_dead(),
            Event::Fault => self.begin_fault(),
            Event::Offer { call } => self.offer(call),
            Event::Reply { call, reply } => self.take_reply(call, reply),
            Event::RunDone { call } => self.end_run(call),
            Event::Send { request } => self.send(request),
            Event::Wake { upstream } => self.wake(upstream),
        }
    }

    fn arrive(&mut self, service: usize) {
        if self.now >= self.start + self.scenario.time {
            return;
        }
        let gap = self.draws.gap(&self.scenario, service);
        self.schedule(gap, Event::Arrive { service });
        let alive: Vec<usize> = (0..self.entries.len())
            .filter(|entry| !self.entries[*entry].is_gone)
            .collect();
        let entry = alive[self.draws.random.usize(..alive.len())];
        let idempotency = self.draws.idempotency();
        let customer = self.draws.customer(&self.scenario);
        let request = self.requests.len();
        let next = Request::new(self.now, customer, entry, idempotency, service);
        self.requests.push(next);
        self.tally.arrive(&self.requests[request]);
        let share = self.scenario.settings.retry_per_mille;
        let _left = self.entries[entry].budgets[service].deposit(share);
        self.schedule(PATIENCE, Event::Deadline { request });
        self.send(request);
    }

    fn send(&mut self, request: usize) {
        if self.requests[request].is_done {
            return;
        }
        let Request {
            entry,
            service,
            ref tried,
            ..
        } = self.requests[request];
        let (policy, service) = (self.scenario.policies.choice, &self.services[service]);
        let random = &mut self.draws.random;
        let chosen = self.entries[entry].choose(policy, self.now, random, service, tried);
        let Some((upstream, expected)) = chosen else {
            return self.end(request, Verdict::NotRun);
        };
        let call = self.tries.len();
        self.tries.push(Try {
            expected,
            is_open: true,
            request,
            sent: self.now,
            upstream,
        });
        let is_far = self.link(call) != NEAR;
        self.tally.attempt(&self.requests[request], is_far);
        self.requests[request].last_try = call;
        let instance = self.upstreams[upstream].instance().clone();
        self.requests[request].tried.push(instance);
        if self.entries[entry].lost[upstream] && self.upstreams[upstream].is_dead {
            let reply = Reply::ConnectFailed;
            return self.schedule(CONNECT_TIMEOUT, Event::Reply { call, reply });
        }
        let link = self.link(call);
        self.schedule(link, Event::Offer { call });
    }

    fn link(&self, call: usize) -> Duration {
        let tried = &self.tries[call];
        let entry = self.requests[tried.request].entry;
        if self.entries[entry].zone == self.upstreams[tried.upstream].zone() {
            return NEAR;
        }
        self.scenario.deployment.link
    }

    fn offer(&mut self, call: usize) {
        let upstream = self.tries[call].upstream;
        if self.upstreams[upstream].is_dead {
            let reply = Reply::Silent;
            return self.schedule(SILENCE, Event::Reply { call, reply });
        }
        let request = &self.requests[self.tries[call].request];
        let work = GateWork {
            call: id(call),
            customer: customer(request.customer),
            deadline: request.arrived + PATIENCE,
            weight: 1,
        };
        let mut actions = Vec::new();
        let gate = &mut self.upstreams[upstream].gate;
        gate.offer(self.now, work, &mut actions);
        self.carry_out(actions);
    }

    fn wake(&mut self, upstream: usize) {
        if self.now >= self.start + self.scenario.time + PATIENCE {
            return;
        }
        let mut actions = Vec::new();
        self.upstreams[upstream].gate.wake(self.now, &mut actions);
        self.carry_out(actions);
        self.schedule(WAKE, Event::Wake { upstream });
    }

    fn carry_out(&mut self, actions: Vec<GateAction>) {
        for action in actions {
            match action {
                GateAction::Refuse { call, refusal } => {
                    let call = index(call);
                    let load = self.load(call);
                    let reply = Reply::Refused { load, refusal };
                    self.schedule(self.link(call), Event::Reply { call, reply });
                }
                GateAction::Repeated { .. } => {}
                GateAction::Start { call } => self.start_run(index(call)),
            }
        }
    }

    fn start_run(&mut self, call: usize) {
        let factor = self.draws.exponential();
        let tried = &self.tries[call];
        self.requests[tried.request].runs += 1;
        let upstream = &mut self.upstreams[tried.upstream];
        let time = upstream.start_run(self.now, factor);
        self.schedule(time, Event::RunDone { call });
    }

    fn end_run(&mut self, call: usize) {
        let upstream = &mut self.upstreams[self.tries[call].upstream];
        if upstream.is_dead {
            return;
        }
        upstream.end_run();
        let mut actions = Vec::new();
        upstream.gate.finish(self.now, id(call), &mut actions);
        let load = self.load(call);
        let reply = Reply::Answered { load };
        self.schedule(self.link(call), Event::Reply { call, reply });
        self.carry_out(actions);
    }

    fn load(&self, call: usize) -> LoadReport {
        self.upstreams[self.tries[call].upstream].load(self.now)
    }

    fn take_reply(&mut self, call: usize, reply: Reply) {
        let tried = &mut self.tries[call];
        if !std::mem::replace(&mut tried.is_open, false) {
            return;
        }
        let (request, upstream) = (tried.request, tried.upstream);
        let elapsed = self.now - tried.sent;
        self.note(request, upstream, reply.outcome(elapsed), reply.load());
        match reply {
            Reply::Answered { .. } => self.answer(request),
            Reply::ConnectFailed => self.fail(call, Verdict::NotRun, true),
            Reply::Refused { refusal, .. } => {
                self.fail(
                    call,
                    Verdict::NotRun,
                    refusal.reason.allows_other_upstream(),
                );
            }
            Reply::Silent => {
                let entry = self.requests[request].entry;
                self.entries[entry].lost[upstream] = true;
                self.requests[request].may_have_run = true;
                self.fail(call, Verdict::MayHaveRun, true);
            }
        }
    }

    fn note(
        &mut self,
        request: usize,
        upstream: usize,
        outcome: CallOutcome,
        report: Option<LoadReport>,
    ) {
        let request = &self.requests[request];
        let service = &self.services[request.service];
        let instance = self.upstreams[upstream].instance();
        let table = &mut self.entries[request.entry].table;
        table.finish(self.now, service, instance, outcome, report);
    }

    fn answer(&mut self, request: usize) {
        self.requests[request].is_done = true;
        self.tally.answer(self.now, &self.requests[request]);
    }

    fn fail(&mut self, call: usize, verdict: Verdict, other_upstream_allowed: bool) {
        let request = self.tries[call].request;
        let Request { entry, service, .. } = self.requests[request];
        let failed = FailedAttempt {
            deadline: self.requests[request].arrived + PATIENCE,
            expected_latency: self.tries[call].expected,
            idempotency: self.requests[request].idempotency,
            other_upstream_allowed,
            retry_after: None,
            total_attempts: self.requests[request].tries(),
            verdict,
        };
        let mut unbounded = RetryBudget::new(&self.scenario.settings);
        let budget = match self.scenario.policies.retry {
            RetryMode::Budget => &mut self.entries[entry].budgets[service],
            RetryMode::Unbounded => &mut unbounded,
        };
        match self
            .retry
            .decide(self.now, &failed, budget, &mut self.draws.random)
        {
            RetryDecision::GiveUp { .. } => self.end(request, verdict),
            RetryDecision::Retry { after } => self.schedule(after, Event::Send { request }),
        }
    }

    fn end(&mut self, request: usize, verdict: Verdict) {
        self.requests[request].is_done = true;
        self.tally.give_up(&self.requests[request], verdict);
    }

    fn pass_deadline(&mut self, request: usize) {
        if self.requests[request].is_done {
            return;
        }
        let call = self.requests[request].last_try;
        let tried = &mut self.tries[call];
        if std::mem::replace(&mut tried.is_open, false) {
            let elapsed = self.now - tried.sent;
            let upstream = tried.upstream;
            self.note(request, upstream, CallOutcome::TimedOut { elapsed }, None);
            if self.scenario.policies.queue == QueuePolicy::Fair {
                self.schedule(self.link(call), Event::Cancel { call });
            }
        }
        self.end(request, Verdict::MayHaveRun);
    }

    fn begin_fault(&mut self) {
        let fault = self.scenario.fault;
        let mut dead = false;
        for upstream in &mut self.upstreams {
            upstream.begin_fault(self.now, fault);
            dead |= upstream.is_dead;
        }
        self.announce_restarted();
        if fault == CallsFault::ZoneGone {
            for entry in &mut self.entries {
                entry.is_gone = entry.zone == 0;
            }
        }
        if !dead {
            return;
        }
        if fault != CallsFault::Unreachable {
            self.schedule(DECLARED_DEAD, Event::DeclareDead);
        }
        for call in 0..self.tries.len() {
            let tried = &self.tries[call];
            if tried.is_open && self.upstreams[tried.upstream].is_dead {
                let reply = Reply::Silent;
                self.schedule(SILENCE, Event::Reply { call, reply });
            }
        }
    }

    fn announce_restarted(&mut self) {
        for upstream in self.upstreams.iter().filter(|u| u.is_restarted()) {
            let service = &self.services[upstream.service()];
            for entry in &mut self.entries {
                entry.table.remove(service, upstream.instance());
                entry
                    .table
                    .announce(self.now, service, upstream.announced());
            }
        }
    }

    fn declare_dead(&mut self) {
        for upstream in self.upstreams.iter().filter(|u| u.is_dead) {
            let service = &self.services[upstream.service()];
            for entry in &mut self.entries {
                entry.table.remove(service, upstream.instance());
            }
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.events.push(self.now + after, event);
    }
}
