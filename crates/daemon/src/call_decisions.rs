use std::{
    collections::{HashMap, HashSet},
    hash::{BuildHasher, RandomState},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use medlarspool_calls::{
    AnnouncedUpstream, CallSettings, Choice, Decision, DecisionLog, DecisionReason, FailedAttempt,
    LoadReport, RetryBudget, RetryDecision, RetryPolicy, UpstreamStatus, UpstreamTable,
};
use medlarspool_proto::Refusal;
use medlarspool_types::{CallId, InstanceId, ServiceName};
use serde_json::json;

use crate::{
    control_message::ControlMessage, directory::Directory, hop_result::HopResult,
    shared_state::SharedState,
};

/// The entry's decisions behind one lock: which upstream a call goes to, and whether a failed attempt is
/// retried.
pub(crate) struct CallDecisions {
    settings: CallSettings,
    shared: Arc<SharedState>,
    state: Mutex<State>,
}

struct State {
    /// The part of the ids of this entry's attempts that no other entry has, nor an earlier life of this one.
    entry_life: u64,
    log: DecisionLog,
    policy: RetryPolicy,
    random: fastrand::Rng,
    services: HashMap<ServiceName, ServiceState>,
    table: UpstreamTable,
}

/// What the entry keeps for each service beside the upstream table.
struct ServiceState {
    budget: RetryBudget,
    /// The directory that the upstream table was last updated from.
    last_directory: Option<Arc<Directory>>,
}

impl CallDecisions {
    pub(crate) fn new(shared: Arc<SharedState>, settings: &CallSettings) -> Self {
        let zone = shared.settings.availability_zone.clone();
        // The standard library takes the keys of each hasher's state from the operating system's source of randomness.
        let entry_life = RandomState::new().hash_one(shared.incarnation.0);
        let state = State {
            entry_life,
            log: DecisionLog::new(settings),
            policy: RetryPolicy::new(settings),
            random: fastrand::Rng::with_seed(entry_life),
            services: HashMap::new(),
            table: UpstreamTable::new(settings, zone),
        };
        Self {
            settings: settings.clone(),
            shared,
            state: Mutex::new(state),
        }
    }

    /// Chooses an upstream, generates the attempt's id and records the choice in the decision log. Returns
    /// `None` if no upstream can be chosen.
    ///
    /// One of the `attempted` upstreams is chosen only if there is no other. If the directory has no upstream
    /// of the service, the control thread is asked to follow the service.
    pub(crate) fn choose_upstream(
        &self,
        service: &ServiceName,
        attempted: &[InstanceId],
    ) -> Option<(CallId, Choice)> {
        let now = self.shared.clock.now();
        let directory = self.shared.directory.load_full();
        if directory.upstreams(service).is_empty() {
            let interest = ControlMessage::InterestInService(service.clone());
            self.shared.send_to_control(interest);
        }
        let mut state = self.lock();
        let state = &mut *state;
        state.apply_directory(now, service, &self.settings, &directory);
        let table = &mut state.table;
        let chosen = table.choose(now, &mut state.random, service, attempted);
        let choice = chosen.or_else(|| table.choose(now, &mut state.random, service, &[]))?;
        let call = CallId::generate(state.entry_life, &mut state.random);
        state.log.record(Decision {
            call,
            decided_at: now,
            expected_latency: choice.expected_latency,
            reason: choice.reason,
            service: service.clone(),
            upstream: Some(choice.instance.clone()),
        });
        Some((call, choice))
    }

    /// Records how an attempt ended and the gate's load, for later choices. An upstream whose gate refused
    /// the attempt because it drains gets the status `Leaving`.
    pub(crate) fn record_result(
        &self,
        service: &ServiceName,
        instance: &InstanceId,
        result: &HopResult,
    ) {
        let now = self.shared.clock.now();
        let load = result.reply.load.map(|load| LoadReport {
            queued: load.queued,
            mean_run_time: Duration::from_micros(load.service_time_us),
            slots: load.slots,
            slots_in_use: load.slots_in_use,
        });
        let mut state = self.lock();
        let table = &mut state.table;
        table.finish(now, service, instance, result.outcome, load);
        if result.reply.refusal() == Refusal::Draining {
            table.set_status(service, instance, UpstreamStatus::Leaving);
        }
    }

    /// Deposits a request's retry share into the budget of its service and returns the share that is left for
    /// calls made further down the chain; both in thousandths of a retry.
    pub(crate) fn deposit_retry_share(&self, service: &ServiceName, retry_per_mille: u32) -> u32 {
        let mut state = self.lock();
        let service_state = state.service_state(service, &self.settings);
        service_state.budget.deposit(retry_per_mille)
    }

    /// Decides whether a failed attempt is followed by another; if not, records the reason in the decision
    /// log.
    pub(crate) fn decide_retry(
        &self,
        service: &ServiceName,
        call: CallId,
        attempt: &FailedAttempt,
    ) -> RetryDecision {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        let state = &mut *state;
        let entry = state.services.entry(service.clone());
        let service_state = entry.or_insert_with(|| ServiceState::new(&self.settings));
        let budget = &mut service_state.budget;
        let decision = state.policy.decide(now, attempt, budget, &mut state.random);
        if let RetryDecision::GiveUp { reason, .. } = decision {
            state.log.record(Decision {
                call,
                decided_at: now,
                expected_latency: Duration::ZERO,
                reason: DecisionReason::GivenUp(reason),
                service: service.clone(),
                upstream: None,
            });
        }
        decision
    }

    /// Returns the latest decisions, the oldest first, for the dump page.
    pub(crate) fn dump(&self) -> serde_json::Value {
        let now = self.shared.clock.now();
        let state = self.lock();
        let decisions = state.log.iter().map(|decision| {
            let ago = now.saturating_duration_since(decision.decided_at);
            json!({
                "ago_ms": ago.as_millis(),
                "call": decision.call.to_string(),
                "expected_ms": decision.expected_latency.as_millis(),
                "reason": decision.reason.to_string(),
                "service": decision.service,
                "upstream": decision.upstream,
            })
        });
        decisions.collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Adds, updates and removes the service's upstreams in the table, if the directory was replaced since
    /// this was last done for the service.
    fn apply_directory(
        &mut self,
        now: Instant,
        name: &ServiceName,
        settings: &CallSettings,
        directory: &Arc<Directory>,
    ) {
        let service_state = self.service_state(name, settings);
        let is_current = |applied: &Arc<Directory>| Arc::ptr_eq(applied, directory);
        if service_state
            .last_directory
            .as_ref()
            .is_some_and(is_current)
        {
            return;
        }
        service_state.last_directory = Some(Arc::clone(directory));
        let records = directory.upstreams(name);
        let known_instances: HashSet<&InstanceId> =
            records.iter().map(|record| &record.instance).collect();
        let pool = self.table.pool(name);
        let upstreams = pool.map_or(&[][..], |pool| pool.upstreams());
        let gone_instances: Vec<InstanceId> = upstreams
            .iter()
            .map(|upstream| upstream.instance().clone())
            .filter(|instance| !known_instances.contains(instance))
            .collect();
        for instance in gone_instances {
            self.table.remove(name, &instance);
        }
        for record in records {
            let announced = AnnouncedUpstream {
                address: record.gate_address,
                availability_zone: record.availability_zone.clone(),
                instance: record.instance.clone(),
                slots: record.slots,
            };
            let status = if record.draining {
                UpstreamStatus::Leaving
            } else {
                UpstreamStatus::Alive
            };
            self.table.announce(now, name, announced);
            self.table.set_status(name, &record.instance, status);
        }
    }

    fn service_state(&mut self, name: &ServiceName, settings: &CallSettings) -> &mut ServiceState {
        let entry = self.services.entry(name.clone());
        entry.or_insert_with(|| ServiceState::new(settings))
    }
}

impl ServiceState {
    fn new(settings: &CallSettings) -> Self {
        Self {
            budget: RetryBudget::new(settings),
            last_directory: None,
        }
    }
}
