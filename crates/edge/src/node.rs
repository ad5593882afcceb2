use std::{
    collections::{HashMap, HashSet},
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use medlarspool_mesh::{
    AccountRefusals, CalledServices, CanaryChoice, CrashList, Directory, GateQueue, MeshConfig,
    OwnTarget, RetryBudget, Route, RouteCosts, RouteKey, RunTimes, SendStamp, SiteSettings,
    TargetChoice, TargetNotice, TargetQuery, TransitTimes, WeightedRoundRobin,
};
use stakker::CX;

use crate::{
    app::App, boot_clock::boot_time, confirmation::Confirmation, quotas::Quotas,
    refused_config::RefusedConfig, rollout_tracker::RolloutTracker, running_work::RunningWork,
    waiter::Waiter,
};

/// How long a relay goes on as one while the store doesn't answer it. Followers would otherwise all call the store
/// in an outage of a fraction of a second. They rely on a relay that is silent for as long.
const RELAY_STORE_OUTAGE: Duration = Duration::from_millis(800);

/// How long the store is followed after no relay could provide a newer version.
const RELAY_FAILURE_PERIOD: Duration = Duration::from_secs(5);

/// The state of a daemon: the configuration, the other daemons, its own target and the queue of its gate.
pub(crate) struct Node {
    /// The recent refusals of accounts' requests that this daemon, as the entry, sent to busy gates.
    pub(crate) account_refusals: AccountRefusals,
    /// Set when the actor is started.
    pub(crate) app: Option<Rc<App>>,
    pub(crate) retry_budget: RetryBudget,
    /// The services that the runs at the own target call.
    pub(crate) called_services: CalledServices,
    /// The number of this daemon's clock in stamps of what it sends.
    pub(crate) clock: u64,
    pub(crate) config: Option<Rc<MeshConfig>>,
    /// When the configuration was put in force.
    pub(crate) config_at: Option<Instant>,
    /// The configuration in force, deflated as it is served to other daemons.
    pub(crate) config_compressed: Bytes,
    pub(crate) confirmation: Confirmation,
    pub(crate) crashes: CrashList,
    pub(crate) directory: Directory,
    /// The share of recent runs at the own target that failed, as a moving average.
    pub(crate) failure_rate: f64,
    /// When the daemon started, in milliseconds since the epoch; raised if its row in the store has a later
    /// start.
    pub(crate) incarnation: u64,
    /// The latest invalid header of the own target that was logged.
    pub(crate) invalid_target_header: Option<String>,
    /// When a connection to the own target last broke by a crash; none if none did.
    pub(crate) last_crash_at: Option<Instant>,
    /// When the next queued request is to be started, while the target's limit holds it back.
    pub(crate) next_arrival_at: Option<Instant>,
    /// The number that the next run at the own target gets.
    pub(crate) next_run_number: u64,
    pub(crate) own_target: OwnTarget,
    pub(crate) queue: GateQueue,
    pub(crate) quotas: Quotas,
    /// The latest version that isn't in force since it isn't valid; none if there is no such version, or a later one is in
    /// force.
    pub(crate) refused_config: Option<RefusedConfig>,
    relays_failed_at: Option<Instant>,
    /// When this daemon went on after a pause; none if it was never paused.
    pub(crate) resumed_at: Option<Instant>,
    /// What is known of rollouts; none where they are off.
    pub(crate) rollouts: Option<RolloutTracker>,
    /// The first tick at which this daemon was an elected relay; none if it was not at the latest tick.
    pub(crate) elected_at: Option<Instant>,
    /// What runs of each route cost the services behind it, as the gates report it.
    pub(crate) route_costs: RouteCosts,
    /// The number of the latest report, by which receivers recognise older ones; 0 before the first.
    pub(crate) report_number: u64,
    pub(crate) run_times: RunTimes,
    /// The requests that run at the own target, by the number of the run.
    pub(crate) running: HashMap<u64, RunningWork>,
    /// Whether the gate is reported as serving; false at the end of a planned stop.
    pub(crate) serving: bool,
    pub(crate) settings: SiteSettings,
    /// The distribution of requests to the services of each route that has several.
    pub(crate) service_cycles: HashMap<RouteKey, WeightedRoundRobin>,
    pub(crate) started_at: Instant,
    /// When the store last confirmed the configuration in force, by an answer to a call for it.
    pub(crate) store_confirmed_at: Option<Instant>,
    /// Since when the store has answered no call for the configuration; none while it answers them.
    store_lost_at: Option<Instant>,
    /// Whether the store has answered any call for the configuration.
    store_was_reached: bool,
    /// The routes of which responses were passed on in pieces, so that their run times don't contain all of the time to
    /// their end.
    pub(crate) streamed_routes: HashSet<RouteKey>,
    /// What the own target's latest response said of the target.
    pub(crate) target_notice: TargetNotice,
    /// How long messages of other daemons were on their way.
    pub(crate) transit_times: TransitTimes,
    /// When the next tick is due, for measuring how late it comes; none before the first one.
    pub(crate) tick_due_at: Option<Instant>,
    /// The number of the latest tick, by which the batch of peers that gets a report is selected.
    pub(crate) tick_number: u64,
    /// Whether a report to all daemons is scheduled.
    pub(crate) report_scheduled: bool,
    /// The requests that wait for a slot, by ticket.
    pub(crate) waiters: HashMap<u64, Waiter>,
}

impl Node {
    pub(crate) fn new(settings: SiteSettings, incarnation: u64, now: Instant) -> Self {
        Self {
            account_refusals: AccountRefusals::default(),
            app: None,
            retry_budget: RetryBudget::new(
                settings.budget_ratio,
                settings.budget_slack,
                settings.budget_window,
            ),
            called_services: CalledServices::default(),
            clock: fastrand::u64(1..),
            config: None,
            config_at: None,
            config_compressed: Bytes::new(),
            confirmation: Confirmation::new(settings.revoke_after),
            crashes: CrashList::default(),
            directory: Directory::new(settings.availability_zone.clone()),
            failure_rate: 0.0,
            incarnation,
            invalid_target_header: None,
            last_crash_at: None,
            next_arrival_at: None,
            next_run_number: 1,
            own_target: OwnTarget::default(),
            queue: GateQueue::new(0),
            quotas: Quotas::default(),
            refused_config: None,
            relays_failed_at: None,
            resumed_at: None,
            rollouts: settings.rollouts.map(RolloutTracker::new),
            elected_at: None,
            route_costs: RouteCosts::default(),
            report_number: 0,
            run_times: RunTimes::default(),
            running: HashMap::new(),
            serving: true,
            settings,
            service_cycles: HashMap::new(),
            started_at: now,
            store_confirmed_at: None,
            store_lost_at: None,
            store_was_reached: false,
            streamed_routes: HashSet::new(),
            target_notice: TargetNotice::default(),
            transit_times: TransitTimes::default(),
            tick_due_at: None,
            tick_number: 0,
            report_scheduled: false,
            waiters: HashMap::new(),
        }
    }

    /// Returns the stamp of a message that is sent now.
    pub(crate) fn send_stamp(&self) -> SendStamp {
        SendStamp {
            clock: self.clock,
            sent_at: boot_time(),
        }
    }

    /// Initialises the actor; `stakker` calls it.
    #[allow(clippy::unnecessary_wraps)] // `stakker` requires this signature
    pub(crate) fn init(_: CX![], node: Self) -> Option<Self> {
        Some(node)
    }

    /// Applies reloaded settings; returns whether none of the changes needs a restart.
    pub(crate) fn apply_settings(&mut self, new: &SiteSettings) -> bool {
        let all_applied = self.settings.apply_reloadable(new);
        self.retry_budget
            .set_bounds(new.budget_ratio, new.budget_slack, new.budget_window);
        all_applied
    }

    /// Returns the version of the configuration in force; 0 if there is none.
    pub(crate) fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version)
    }

    /// Returns whether this daemon is a relay: whether others may get the configuration from it instead of
    /// the store.
    pub(crate) fn relays_config(&self, now: Instant) -> bool {
        self.is_elected_relay(now) && self.relies_on_store(now) && self.config.is_some()
    }

    /// Returns whether the store answered a call for the configuration, and has not been lost for longer than
    /// [`RELAY_STORE_OUTAGE`] since.
    fn relies_on_store(&self, now: Instant) -> bool {
        let is_lost = self
            .store_lost_at
            .is_some_and(|at| now.saturating_duration_since(at) >= RELAY_STORE_OUTAGE);
        self.store_was_reached && !is_lost
    }

    /// Records whether the store answered a call for the configuration.
    pub(crate) fn record_store_call(&mut self, now: Instant, is_reachable: bool) {
        self.store_was_reached |= is_reachable;
        self.store_lost_at = if is_reachable {
            None
        } else {
            self.store_lost_at.or(Some(now))
        };
    }

    /// Returns whether this daemon is to follow the store, so that others needn't.
    pub(crate) fn is_elected_relay(&self, now: Instant) -> bool {
        let own_address = self.settings.peer_address;
        self.settings.has_fast_link()
            && self.serving
            && self.directory.is_elected_relay(now, own_address)
    }

    /// Returns whether this daemon is the relay whose feed shows that the store's feeds still work.
    pub(crate) fn is_lead_relay(&self, now: Instant) -> bool {
        self.relays_config(now)
            && self
                .directory
                .is_lead_relay(now, self.settings.peer_address)
    }

    /// Returns whether a peer that is alive has a newer configuration.
    pub(crate) fn is_behind_peers(&self, now: Instant) -> bool {
        self.config_version() < self.directory.newest_config_version(now)
    }

    /// Logs whether this daemon follows the store for others, if that has changed.
    pub(crate) fn log_election(&mut self, now: Instant) {
        let is_elected = self.is_elected_relay(now);
        if is_elected != self.elected_at.is_some() {
            self.elected_at = is_elected.then_some(now);
            log::info!(event = "relay", elected = is_elected; "");
        }
    }

    /// Returns whether this daemon gets the configuration from relays instead of the store.
    pub(crate) fn follows_relays(&self, now: Instant) -> bool {
        let failed_recently = self
            .relays_failed_at
            .is_some_and(|at| now.saturating_duration_since(at) < RELAY_FAILURE_PERIOD);
        !self.is_elected_relay(now)
            && self.config.is_some()
            && !failed_recently
            && self.directory.has_recent_relay(now)
    }

    /// Records that no peer could provide a newer version that was reported.
    pub(crate) const fn record_relay_failure(&mut self, now: Instant) {
        self.relays_failed_at = Some(now);
    }

    /// Wakes the requests that wait for a target, so that they choose again.
    pub(crate) fn wake_target_waiters(&self) {
        if let Some(app) = &self.app {
            app.targets_changed.notify_waiters();
        }
    }

    /// Returns whether this configuration is newer than the one in force.
    pub(crate) fn is_newer(&self, config: &MeshConfig) -> bool {
        self.config
            .as_ref()
            .is_none_or(|known| known.version < config.version)
    }

    /// Records that a version of the configuration isn't valid.
    pub(crate) fn record_refused_config(&mut self, refused: RefusedConfig) {
        log::error!(event = "config-invalid", source = refused.source, version = refused.version, error = refused.reason.as_str(); "");
        self.refused_config = Some(refused);
    }

    /// Records that a version of the configuration is valid: the refused one isn't the latest any more.
    pub(crate) fn record_valid_config(&mut self, version: u64) {
        self.refused_config
            .take_if(|refused| refused.version.is_none_or(|refused| refused <= version));
    }

    /// Puts a configuration in force if it is newer than the present one.
    ///
    /// A relay reports the new version at once. Other daemons include it in their next regular reports,
    /// since without a relay all daemons follow the store themselves.
    pub(crate) fn apply_config(&mut self, cx: CX![], config: MeshConfig, compressed: Bytes) {
        if !self.is_newer(&config) {
            return;
        }
        log::info!(event = "config", version = config.version, routes = config.route_count(); "");
        if let Some(app) = &self.app {
            app.limits.set(config.limits);
            app.response_buffers
                .set_has_downloads(config.has_downloads());
            app.metrics.config_version.set(config.version.cast_signed());
            app.config_arrived.notify_waiters();
        }
        self.wake_target_waiters();
        self.config = Some(Rc::new(config));
        self.config_at = Some(cx.now());
        self.config_compressed = compressed;
        self.service_cycles.clear();
        self.apply_limits(cx);
        if self.relays_config(cx.now()) {
            self.schedule_report(cx);
        }
    }

    /// Returns the service for a route's next request, by the weights of the route's services.
    pub(crate) fn next_service(&mut self, route: &Route) -> Rc<str> {
        let index = if route.services.len() == 1 {
            0
        } else {
            let cycle = self.service_cycles.entry(route.key).or_insert_with(|| {
                WeightedRoundRobin::starting_at_random(&route.services, fastrand::f64)
            });
            cycle.choose_next()
        };
        route.services[index].service.clone()
    }

    /// Counts a client's request towards the retry budget of its service.
    pub(crate) fn count_request(&mut self, now: Instant, service: &Rc<str>) {
        self.retry_budget.record_request(now, service);
    }

    /// Counts a call that the own target makes while it runs requests.
    ///
    /// A target repeats its calls when it runs a retry. So the budget of the service is charged with the share of
    /// retries with unpaid calls among the target's runs.
    pub(crate) fn count_target_call(&mut self, now: Instant, service: &Rc<str>, deadline: Instant) {
        let running = self.running.values();
        let running = running.filter(|work| work.may_make_call(deadline));
        let unpaid_count = running.clone().filter(|work| work.has_unpaid_calls).count();
        if unpaid_count > 0 {
            #[allow(clippy::cast_precision_loss)]
            let unpaid_share = unpaid_count as f64 / running.clone().count() as f64;
            self.retry_budget.charge(now, service, unpaid_share);
        }
        self.called_services
            .record_call(service, running.map(|work| work.route));
    }

    /// Chooses a target of a version that may be used.
    pub(crate) fn choose_by_version(
        &mut self,
        now: Instant,
        query: &TargetQuery,
        avoids_canaries: bool,
    ) -> Option<TargetChoice> {
        let may_send = self.may_send(now);
        let Some(tracker) = &mut self.rollouts else {
            return self.directory.choose(now, query);
        };
        if !may_send {
            return None;
        }
        let versions = tracker.versions(&self.directory, query.service);
        let canary = if avoids_canaries {
            CanaryChoice::Avoided
        } else {
            tracker.canary_choice(now, &self.directory, query.service)
        };
        let query = TargetQuery {
            canary,
            versions: versions.as_deref(),
            ..*query
        };
        self.directory.choose(now, &query)
    }

    /// Chooses a target and counts the request as in flight to its daemon. A request that `avoids_canaries`, since it
    /// failed at one, goes to a target of the stable version.
    pub(crate) fn choose(
        &mut self,
        now: Instant,
        query: &TargetQuery,
        avoids_canaries: bool,
    ) -> Option<TargetChoice> {
        let own_address = self.settings.peer_address;
        let load = self.load(now);
        if let Some(peer) = self.directory.peer_mut(own_address) {
            peer.update_load(now, load);
        }
        let choice = self.choose_by_version(now, query, avoids_canaries)?;
        if let Some(peer) = self.directory.peer_mut(choice.address) {
            peer.in_flight += 1;
            peer.in_flight_downloads += u32::from(query.is_download);
        }
        Some(choice)
    }
}
