use std::{
    collections::HashMap,
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use medlarspool_mesh::{
    CrashList, Directory, GateQueue, MeshConfig, OwnTarget, RetryBudget, Route, RouteKey, RunTimes,
    SiteSettings, TargetChoice, TargetQuery, WeightedRoundRobin,
};
use stakker::CX;

use crate::{app::App, running_work::RunningWork, waiter::Waiter};

/// How long the store is followed after relays failed to hand over a version.
const RELAYS_FAILED_FOR: Duration = Duration::from_secs(5);

/// The random start of a split's cycle is drawn from as many turns.
const CYCLE_START_POSITIONS: usize = 16;

/// All that a daemon believes: the configuration, the other daemons, its target and its gate.
pub(crate) struct Node {
    pub(crate) app: Option<Rc<App>>,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) config: Option<Rc<MeshConfig>>,
    pub(crate) config_at: Option<Instant>,
    /// The configuration in force, deflated for other daemons.
    pub(crate) config_compressed: Bytes,
    pub(crate) crashes: CrashList,
    pub(crate) directory: Directory,
    pub(crate) failing_share: f64,
    pub(crate) incarnation: u64,
    pub(crate) last_crash: Option<(Instant, u64)>,
    pub(crate) next_run: u64,
    pub(crate) own_target: OwnTarget,
    pub(crate) queue: GateQueue,
    relays_failed_at: Option<Instant>,
    pub(crate) report_number: u64,
    pub(crate) run_times: RunTimes,
    pub(crate) running: HashMap<u64, RunningWork>,
    pub(crate) serving: bool,
    pub(crate) settings: SiteSettings,
    pub(crate) service_cycles: HashMap<RouteKey, WeightedRoundRobin>,
    pub(crate) started_at: Instant,
    /// Whether the store answered the last call for the configuration.
    pub(crate) store_answers: bool,
    pub(crate) tick_due: Option<Instant>,
    pub(crate) tick_number: u64,
    pub(crate) report_scheduled: bool,
    pub(crate) waiters: HashMap<u64, Waiter>,
}

impl Node {
    pub(crate) fn new(settings: SiteSettings, incarnation: u64, now: Instant) -> Self {
        Self {
            app: None,
            retry_budget: RetryBudget::new(
                settings.budget_ratio,
                settings.budget_slack,
                settings.budget_window,
            ),
            config: None,
            config_at: None,
            config_compressed: Bytes::new(),
            crashes: CrashList::default(),
            directory: Directory::new(settings.availability_zone.clone()),
            failing_share: 0.0,
            incarnation,
            last_crash: None,
            next_run: 1,
            own_target: OwnTarget::default(),
            queue: GateQueue::new(0),
            relays_failed_at: None,
            report_number: 0,
            run_times: RunTimes::default(),
            running: HashMap::new(),
            serving: true,
            settings,
            service_cycles: HashMap::new(),
            started_at: now,
            store_answers: false,
            tick_due: None,
            tick_number: 0,
            report_scheduled: false,
            waiters: HashMap::new(),
        }
    }

    /// Makes the actor.
    #[allow(clippy::unnecessary_wraps)] // the signature that `stakker` asks for
    pub(crate) fn init(_: CX![], node: Self) -> Option<Self> {
        Some(node)
    }

    /// Follows settings that were read again; returns whether none of them needs a restart.
    pub(crate) fn apply_settings(&mut self, new: &SiteSettings) -> bool {
        let all_applied = self.settings.apply_reloadable(new);
        self.retry_budget
            .set_bounds(new.budget_ratio, new.budget_slack, new.budget_window);
        all_applied
    }

    /// Returns the version of the configuration in force; 0 without one.
    pub(crate) fn config_version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version)
    }

    /// Returns whether others may follow this daemon instead of the store.
    pub(crate) fn relays_config(&self) -> bool {
        self.settings.has_fast_link() && self.store_answers && self.config.is_some()
    }

    /// Returns whether this daemon follows relays instead of the store.
    pub(crate) fn follows_relays(&self, now: Instant) -> bool {
        let failed_recently = self
            .relays_failed_at
            .is_some_and(|at| now.saturating_duration_since(at) < RELAYS_FAILED_FOR);
        !self.settings.has_fast_link()
            && self.config.is_some()
            && !failed_recently
            && self.directory.has_recent_relay(now)
    }

    /// Notes that no peer handed over a version that was told.
    pub(crate) const fn record_relay_failure(&mut self, now: Instant) {
        self.relays_failed_at = Some(now);
    }

    /// Lets the requests that wait for a target look again.
    pub(crate) fn wake_target_waiters(&self) {
        if let Some(app) = &self.app {
            app.targets_changed.notify_waiters();
        }
    }

    /// Returns whether a version is newer than the one in force.
    pub(crate) fn is_newer(&self, config: &MeshConfig) -> bool {
        self.config
            .as_ref()
            .is_none_or(|known| known.version < config.version)
    }

    /// Puts a version in force, unless it is no newer than the one that is.
    ///
    /// A relay tells of it at once; otherwise the next reports do, since all follow the store by themselves.
    pub(crate) fn apply_config(&mut self, cx: CX![], config: MeshConfig, compressed: Bytes) {
        if !self.is_newer(&config) {
            return;
        }
        log::info!(event = "config", version = config.version, routes = config.route_count(); "");
        if let Some(app) = &self.app {
            app.limits.set(config.limits);
            app.metrics.config_version.set(config.version.cast_signed());
            app.config_arrived.notify_waiters();
        }
        self.wake_target_waiters();
        self.config = Some(Rc::new(config));
        self.config_at = Some(cx.now());
        self.config_compressed = compressed;
        self.service_cycles.clear();
        if self.relays_config() {
            self.schedule_report(cx);
        }
    }

    /// Returns the service of a route's next request, by the weights of its parts.
    pub(crate) fn next_service(&mut self, route: &Route) -> Rc<str> {
        let index = if route.services.len() == 1 {
            0
        } else {
            let cycle = self.service_cycles.entry(route.key).or_insert_with(|| {
                WeightedRoundRobin::advanced_by(
                    &route.services,
                    fastrand::usize(..CYCLE_START_POSITIONS),
                )
            });
            cycle.next(&route.services)
        };
        route.services[index].service.clone()
    }

    /// Counts a client's request into the budget of its service.
    pub(crate) fn count_request(&mut self, now: Instant, service: &Rc<str>) {
        self.retry_budget.record_request(now, service);
        let retries = self.running.values().filter(|work| work.is_retry).count();
        if retries > 0 {
            #[allow(clippy::cast_precision_loss)]
            let retry_share = retries as f64 / self.running.len() as f64;
            self.retry_budget.charge(now, service, retry_share);
        }
    }

    /// Chooses a target and counts the hop to it.
    pub(crate) fn choose(&mut self, now: Instant, query: &TargetQuery) -> Option<TargetChoice> {
        let own_address = self.settings.peer_address;
        let load = self.load();
        if let Some(peer) = self.directory.peer_mut(own_address) {
            peer.update_load(now, load);
        }
        let choice = self.directory.choose(now, query)?;
        if let Some(peer) = self.directory.peer_mut(choice.address) {
            peer.in_flight += 1;
        }
        Some(choice)
    }
}
