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
    calls_names::{call_id, call_index, customer_id, parse_id},
    calls_request::{Attempt, Request},
    calls_tally::CallsTally,
    calls_upstream::CallsUpstream,
};

/// How long a caller waits for an answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an entry waits for a reply on an open connection before it closes the connection.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an entry waits for a new connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// How long membership takes to declare a failed upstream dead.
const DEATH_DETECTION_TIME: Duration = Duration::from_secs(3);
/// The interval between two wake-ups of a gate.
const WAKE_INTERVAL: Duration = Duration::from_millis(50);
/// The one-way latency of a message within a zone.
const SAME_ZONE_LATENCY: Duration = Duration::from_micros(100);

/// A discrete-event simulation of calls that runs the daemon's own decisions under a simulated clock.
///
/// It models only calls: entries, gates and run times. The same seed gives the same counts.
#[derive(Debug)]
pub struct CallsModel {
    attempts: Vec<Attempt>,
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
    upstreams: Vec<CallsUpstream>,
}

impl CallsModel {
    /// Runs a scenario to its end.
    #[must_use]
    pub fn run(mut scenario: CallsScenario) -> CallsReport {
        scenario.policies.apply_to(&mut scenario.settings);
        let mut model = Self::new(scenario);
        model.schedule_initial_events();
        while let Some((at, event)) = model.events.pop() {
            model.now = at;
            model.handle(event);
        }
        model.tally.into_report(&model.upstreams, &model.requests)
    }

    fn new(scenario: CallsScenario) -> Self {
        let start = Instant::now();
        let upstreams = CallsUpstream::for_scenario(&scenario, start);
        let services: Vec<ServiceName> = (0..scenario.deployment.services.len())
            .map(|service| parse_id(&format!("s{service}")))
            .collect();
        let zones = scenario.deployment.zone_count;
        let entries = (0..scenario.deployment.entry_count)
            .map(|index| Entry::new(&scenario, &services, &upstreams, index % zones, start));
        Self {
            attempts: Vec::new(),
            draws: CallsDraws::new(scenario.seed),
            entries: entries.collect(),
            events: CallsEvents::default(),
            now: start,
            requests: Vec::new(),
            retry: RetryPolicy::new(&scenario.settings),
            services,
            start,
            tally: CallsTally::new(&scenario, start),
            upstreams,
            scenario,
        }
    }

    fn schedule_initial_events(&mut self) {
        for service in 0..self.services.len() {
            self.schedule(Duration::ZERO, Event::Arrive { service });
        }
        for upstream in 0..self.upstreams.len() {
            self.schedule(WAKE_INTERVAL, Event::Wake { upstream });
        }
        self.schedule(self.scenario.fault_at(), Event::Fault);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { service } => self.arrive(service),
            Event::Cancel { call } => {
                let upstream = self.attempts[call].upstream;
                self.upstreams[upstream].gate.cancel(call_id(call));
            }
            Event::Deadline { request } => self.expire(request),
            Event::DeclareDead => self.declare_dead(),
            Event::Fault => self.begin_fault(),
            Event::Offer { call } => self.offer(call),
            Event::Reply { call, reply } => self.handle_reply(call, reply),
            Event::RunDone { call } => self.end_run(call),
            Event::Send { request } => self.send(request),
            Event::Wake { upstream } => self.wake(upstream),
        }
    }

    /// Lets a request arrive at a random running entry, deposits its share of a retry in the entry's budget,
    /// sends its first attempt and schedules the next arrival, until the traffic ends.
    fn arrive(&mut self, service: usize) {
        if self.now >= self.start + self.scenario.traffic_duration {
            return;
        }
        let until_next = self.draws.interarrival_time(&self.scenario, service);
        self.schedule(until_next, Event::Arrive { service });
        let running_entries: Vec<usize> = (0..self.entries.len())
            .filter(|entry| !self.entries[*entry].is_down)
            .collect();
        let entry = running_entries[self.draws.random.usize(..running_entries.len())];
        let idempotency = self.draws.idempotency();
        let customer = self.draws.customer(&self.scenario);
        let request = self.requests.len();
        let next = Request::new(self.now, customer, entry, idempotency, service);
        self.requests.push(next);
        self.tally.record_arrival(&self.requests[request]);
        let retry_per_mille = self.scenario.settings.retry_per_mille;
        let _remaining_share = self.entries[entry].budgets[service].deposit(retry_per_mille);
        self.schedule(CALLER_TIMEOUT, Event::Deadline { request });
        self.send(request);
    }

    /// Chooses an upstream and sends an attempt, or gives the request up if there is none to choose.
    fn send(&mut self, request: usize) {
        if self.requests[request].is_done {
            return;
        }
        let Request {
            entry,
            service,
            ref tried_instances,
            ..
        } = self.requests[request];
        let (policy, service) = (self.scenario.policies.choice, &self.services[service]);
        let random = &mut self.draws.random;
        let choice = self.entries[entry].choose(policy, self.now, random, service, tried_instances);
        let Some((upstream, expected_latency)) = choice else {
            return self.give_up(request, Verdict::NotRun);
        };
        let call = self.attempts.len();
        self.attempts.push(Attempt {
            expected_latency,
            is_open: true,
            request,
            sent_at: self.now,
            upstream,
        });
        let is_far = self.latency(call) != SAME_ZONE_LATENCY;
        self.tally.record_attempt(&self.requests[request], is_far);
        self.requests[request].last_attempt = call;
        let instance = self.upstreams[upstream].instance().clone();
        self.requests[request].tried_instances.push(instance);
        if self.entries[entry].lost_connections[upstream] && self.upstreams[upstream].is_unreachable
        {
            let reply = Reply::ConnectFailed;
            return self.schedule(CONNECT_TIMEOUT, Event::Reply { call, reply });
        }
        let latency = self.latency(call);
        self.schedule(latency, Event::Offer { call });
    }

    /// Returns the one-way latency between a call's entry and its upstream.
    fn latency(&self, call: usize) -> Duration {
        let attempt = &self.attempts[call];
        let entry = self.requests[attempt.request].entry;
        if self.entries[entry].zone == self.upstreams[attempt.upstream].zone() {
            return SAME_ZONE_LATENCY;
        }
        self.scenario.deployment.inter_zone_latency
    }

    /// Offers a call to its upstream's gate; an unreachable upstream never replies.
    fn offer(&mut self, call: usize) {
        let upstream = self.attempts[call].upstream;
        if self.upstreams[upstream].is_unreachable {
            let reply = Reply::Silent;
            return self.schedule(SILENCE_TIMEOUT, Event::Reply { call, reply });
        }
        let request = &self.requests[self.attempts[call].request];
        let work = GateWork {
            call: call_id(call),
            customer: customer_id(request.customer),
            deadline: request.arrived_at + CALLER_TIMEOUT,
            weight: 1,
        };
        let mut actions = Vec::new();
        let gate = &mut self.upstreams[upstream].gate;
        gate.offer(self.now, work, &mut actions);
        self.apply(actions);
    }

    fn wake(&mut self, upstream: usize) {
        if self.now >= self.start + self.scenario.traffic_duration + CALLER_TIMEOUT {
            return;
        }
        let mut actions = Vec::new();
        self.upstreams[upstream].gate.wake(self.now, &mut actions);
        self.apply(actions);
        self.schedule(WAKE_INTERVAL, Event::Wake { upstream });
    }

    /// Performs a gate's actions: starts runs and schedules the replies of refused calls.
    fn apply(&mut self, actions: Vec<GateAction>) {
        for action in actions {
            match action {
                GateAction::Refuse { call, refusal } => {
                    let call = call_index(call);
                    let load = self.load(call);
                    let reply = Reply::Refused { load, refusal };
                    self.schedule(self.latency(call), Event::Reply { call, reply });
                }
                GateAction::Repeated { .. } => {}
                GateAction::Start { call } => self.start_run(call_index(call)),
            }
        }
    }

    fn start_run(&mut self, call: usize) {
        let factor = self.draws.exponential();
        let attempt = &self.attempts[call];
        self.requests[attempt.request].run_count += 1;
        let upstream = &mut self.upstreams[attempt.upstream];
        let time = upstream.start_run(self.now, factor);
        self.schedule(time, Event::RunDone { call });
    }

    fn end_run(&mut self, call: usize) {
        let upstream = &mut self.upstreams[self.attempts[call].upstream];
        if upstream.is_unreachable {
            return;
        }
        upstream.end_run();
        let mut actions = Vec::new();
        upstream.gate.finish(self.now, call_id(call), &mut actions);
        let load = self.load(call);
        let reply = Reply::Answered { load };
        self.schedule(self.latency(call), Event::Reply { call, reply });
        self.apply(actions);
    }

    fn load(&self, call: usize) -> LoadReport {
        self.upstreams[self.attempts[call].upstream].load(self.now)
    }

    /// Ends an open attempt with its reply; ignores the reply if the attempt has ended already.
    fn handle_reply(&mut self, call: usize, reply: Reply) {
        let attempt = &mut self.attempts[call];
        if !std::mem::replace(&mut attempt.is_open, false) {
            return;
        }
        let (request, upstream) = (attempt.request, attempt.upstream);
        let elapsed = self.now - attempt.sent_at;
        self.record_outcome(request, upstream, reply.outcome(elapsed), reply.load());
        match reply {
            Reply::Answered { .. } => self.complete(request),
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
                self.entries[entry].lost_connections[upstream] = true;
                self.requests[request].may_have_run = true;
                self.fail(call, Verdict::MayHaveRun, true);
            }
        }
    }

    fn record_outcome(
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

    fn complete(&mut self, request: usize) {
        self.requests[request].is_done = true;
        self.tally.record_answer(self.now, &self.requests[request]);
    }

    /// Ends a failed attempt: schedules another one or gives the request up, as the retry policy decides.
    fn fail(&mut self, call: usize, verdict: Verdict, other_upstream_allowed: bool) {
        let request = self.attempts[call].request;
        let Request { entry, service, .. } = self.requests[request];
        let failed = FailedAttempt {
            deadline: self.requests[request].arrived_at + CALLER_TIMEOUT,
            expected_latency: self.attempts[call].expected_latency,
            idempotency: self.requests[request].idempotency,
            other_upstream_allowed,
            retry_after: None,
            total_attempts: self.requests[request].attempt_count(),
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
            RetryDecision::GiveUp { .. } => self.give_up(request, verdict),
            RetryDecision::Retry { delay } => self.schedule(delay, Event::Send { request }),
        }
    }

    fn give_up(&mut self, request: usize, verdict: Verdict) {
        self.requests[request].is_done = true;
        self.tally.record_failure(&self.requests[request], verdict);
    }

    /// Gives up a request whose caller no longer waits. An attempt that is still open counts as timed out, and
    /// is cancelled at its gate unless that is the FIFO baseline, which does not cancel.
    fn expire(&mut self, request: usize) {
        if self.requests[request].is_done {
            return;
        }
        let call = self.requests[request].last_attempt;
        let attempt = &mut self.attempts[call];
        if std::mem::replace(&mut attempt.is_open, false) {
            let elapsed = self.now - attempt.sent_at;
            let upstream = attempt.upstream;
            self.record_outcome(request, upstream, CallOutcome::TimedOut { elapsed }, None);
            if self.scenario.policies.queue == QueuePolicy::Fair {
                self.schedule(self.latency(call), Event::Cancel { call });
            }
        }
        self.give_up(request, Verdict::MayHaveRun);
    }

    /// Begins the fault at the upstreams and entries that it affects. If it makes upstreams unreachable, schedules
    /// the time-outs of their open calls and, unless membership never notices, their removal as dead.
    fn begin_fault(&mut self) {
        let fault = self.scenario.fault;
        let mut any_unreachable = false;
        for upstream in &mut self.upstreams {
            upstream.begin_fault(self.now, fault);
            any_unreachable |= upstream.is_unreachable;
        }
        self.announce_restarted();
        if fault == CallsFault::ZoneDown {
            for entry in &mut self.entries {
                entry.is_down = entry.zone == 0;
            }
        }
        if !any_unreachable {
            return;
        }
        if fault != CallsFault::Unreachable {
            self.schedule(DEATH_DETECTION_TIME, Event::DeclareDead);
        }
        for call in 0..self.attempts.len() {
            let attempt = &self.attempts[call];
            if attempt.is_open && self.upstreams[attempt.upstream].is_unreachable {
                let reply = Reply::Silent;
                self.schedule(SILENCE_TIMEOUT, Event::Reply { call, reply });
            }
        }
    }

    /// Replaces the restarted upstreams in the tables of all entries, as membership would.
    fn announce_restarted(&mut self) {
        for upstream in self
            .upstreams
            .iter()
            .filter(|upstream| upstream.is_restarted())
        {
            let service = &self.services[upstream.service()];
            for entry in &mut self.entries {
                entry.table.remove(service, upstream.instance());
                entry
                    .table
                    .announce(self.now, service, upstream.announced());
            }
        }
    }

    /// Removes the dead upstreams from the tables of all entries.
    fn declare_dead(&mut self) {
        for upstream in self
            .upstreams
            .iter()
            .filter(|upstream| upstream.is_unreachable)
        {
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
