use std::{
    collections::BTreeSet,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use medlarspool_adapter::{StoreRow, decode_order, decode_status, rollout_service};
use medlarspool_hop::Report;
use medlarspool_mesh::{
    RolloutOrder, RolloutPlan, RolloutState, RolloutStatus, RolloutStep, Rollouts, RouteKey,
    StoreEra, StorePosition, TargetRecord,
};
use serde_json::{Value, json};
use stakker::CX;

use crate::{
    node::Node, node_gate::is_configured_service, rollout_tracker::RolloutTracker,
    status_write::StatusWrite, units::millis,
};

/// How long a daemon that started, or was paused, makes no decision for all daemons: two reports of each other daemon
/// and a margin, after which it knows which ones are alive.
const SETTLE_TIME: Duration = Duration::from_millis(1_200);

/// How late a tick may come before the daemon counts as paused.
pub(crate) const MAX_TICK_DELAY: Duration = Duration::from_secs(1);

/// The shortest interval between decisions, since each report with evidence asks for one.
const DECISION_INTERVAL: Duration = Duration::from_millis(100);

/// How long a daemon that started sends no requests while it doesn't know the orders and the other daemons' targets.
/// If neither the store nor a peer tells them by then, as when all daemons start while the store is away, it uses the
/// version that most targets have.
const ORDERS_WAIT: Duration = Duration::from_secs(2);

impl Node {
    /// Returns whether requests may be sent to targets: whether the orders of rollouts and the rows of other daemons,
    /// by which the versions in use are latched, are known, or can't be.
    pub(crate) fn may_send(&self, now: Instant) -> bool {
        let is_waiting = || now.saturating_duration_since(self.started_at) < ORDERS_WAIT;
        let were_rows_read = || {
            self.app
                .as_ref()
                .is_some_and(|app| app.rows_were_read.get())
        };
        self.rollouts
            .as_ref()
            .is_none_or(|tracker| (tracker.knows_orders && were_rows_read()) || !is_waiting())
    }

    /// Returns whether the own target has a version that was rolled back. Its gate then starts no request for entries
    /// that haven't heard of it yet.
    pub(crate) fn is_rolled_back(&self, now: Instant, target: &TargetRecord) -> bool {
        let status = self
            .rollouts
            .as_ref()
            .and_then(|tracker| tracker.rollouts.status(now, &target.service));
        status.is_some_and(|status| {
            status.state == RolloutState::RolledBack && status.order.to == target.version
        })
    }

    /// Counts a run at the own target as evidence on its version.
    pub(crate) fn record_rollout_run(
        &mut self,
        target_id: &str,
        route: RouteKey,
        run_time: Duration,
        failed: bool,
    ) {
        let target = self.own_target.record();
        let ran = target.filter(|target| *target.id == *target_id);
        if let (Some(tracker), Some(target)) = (&mut self.rollouts, ran) {
            tracker.record_run(target, route, run_time, failed);
        }
    }

    /// Applies the rows of the operator's table that are orders. Orders wait until the status rows were read in the same
    /// era of the store, since these tell which orders are outdated.
    pub(crate) fn learn_orders(&mut self, cx: CX![], rows: &[StoreRow], era: StoreEra) {
        let Some(tracker) = &mut self.rollouts else {
            return;
        };
        let mut orders = Vec::new();
        for row in rows.iter().filter(|row| !row.deleted) {
            let Some(service) = rollout_service(&row.key) else {
                continue;
            };
            let version = row.version;
            let position = StorePosition { era, version };
            match decode_order(service, &row.value, position) {
                Ok(order) => orders.push(order),
                Err(error) => tracker.log_refused(service, position, &error.to_string()),
            }
        }
        if !tracker.has_read_statuses_of(era) {
            tracker.pending_orders.extend(orders);
            return;
        }
        self.apply_orders(cx, orders);
    }

    /// Records that the store came back from an older copy, whose status rows have to be read before its orders.
    pub(crate) fn forget_statuses_read(&mut self) {
        if let Some(tracker) = &mut self.rollouts {
            tracker.statuses_era = None;
        }
    }

    /// Records that the operator's table was read whole.
    pub(crate) fn finish_reading_orders(&mut self) {
        if let Some(tracker) = &mut self.rollouts {
            tracker.has_read_orders = true;
        }
        self.update_knows_orders();
    }

    /// Applies the status rows, which were read whole, and then the orders that waited for them.
    pub(crate) fn learn_statuses(&mut self, cx: CX![], rows: &[StoreRow], era: StoreEra) {
        for row in rows {
            self.learn_status_row(cx, row, era);
        }
        let now = cx.now();
        let Some(tracker) = &mut self.rollouts else {
            return;
        };
        tracker.statuses_era = Some(era);
        for status in tracker.rollouts.statuses(now) {
            let service = &*status.order.service;
            let mut present = rows.iter().filter(|row| !row.deleted);
            if !present.any(|row| rollout_service(&row.key) == Some(service)) {
                tracker.rollouts.learn_missing_status(service);
            }
        }
        let pending = std::mem::take(&mut tracker.pending_orders);
        self.apply_orders(cx, pending);
        self.update_knows_orders();
    }

    /// Applies a status row that was read in the store, or written to it.
    pub(crate) fn learn_status_row(&mut self, cx: CX![], row: &StoreRow, era: StoreEra) {
        let Some(service) = rollout_service(&row.key) else {
            return;
        };
        if row.deleted || row.version == 0 {
            return;
        }
        let (state, to) = match decode_status(&row.value) {
            Ok(decoded) => decoded,
            Err(error) => {
                log::warn!(event = "rollout-status-invalid", service = service, error = error.to_string().as_str(); "");
                return;
            }
        };
        let service: Rc<str> = service.into();
        let version = row.version;
        let position = StorePosition { era, version };
        let now = cx.now();
        let Some(tracker) = &mut self.rollouts else {
            return;
        };
        if state.is_final() {
            let verdict = (to.clone(), position);
            tracker.stored_verdicts.insert(service.clone(), verdict);
        } else {
            tracker.stored_verdicts.remove(&service);
        }
        let has_changed = tracker
            .rollouts
            .learn_status(now, &service, &to, state, position);
        if has_changed {
            self.apply_rollout_change(cx, &service, "store");
        }
    }

    fn apply_orders(&mut self, cx: CX![], orders: Vec<RolloutOrder>) {
        for order in orders {
            self.apply_order(cx, order);
        }
    }

    fn apply_order(&mut self, cx: CX![], order: RolloutOrder) {
        let now = cx.now();
        let (service, position) = (order.service.clone(), order.position);
        let is_known_service = self
            .config
            .as_ref()
            .is_some_and(|config| is_configured_service(config, &service));
        let Some(tracker) = &mut self.rollouts else {
            return;
        };
        if !is_known_service {
            let error = format!("the service `{service}` is unknown");
            tracker.log_refused(&service, position, &error);
            return;
        }
        if tracker.is_before_known_order(now, &order) {
            let error = format!("the order of `{}` is older than the known one", order.to);
            tracker.log_refused(&service, position, &error);
            return;
        }
        tracker.latch(&self.directory, &service);
        match tracker.rollouts.learn_order(now, order) {
            Ok(true) => self.apply_rollout_change(cx, &service, "store"),
            Ok(false) => {}
            Err(error) => tracker.log_refused(&service, position, &error.to_string()),
        }
    }

    fn update_knows_orders(&mut self) {
        let Some(tracker) = &mut self.rollouts else {
            return;
        };
        let has_read = tracker.has_read_orders && tracker.statuses_era.is_some();
        if has_read && !std::mem::replace(&mut tracker.knows_orders, true) {
            log::info!(event = "rollouts-known", source = "store"; "");
            self.wake_target_waiters();
        }
    }

    /// Applies what a peer's report says of rollouts.
    pub(crate) fn learn_reported_rollouts(&mut self, cx: CX![], report: &Report) {
        let now = cx.now();
        let mut changed = Vec::new();
        let Some(tracker) = &mut self.rollouts else {
            return;
        };
        for status in &report.rollouts {
            tracker.latch(&self.directory, &status.order.service);
            if tracker.rollouts.merge(now, status) {
                changed.push(status.order.service.clone());
            }
        }
        tracker.record_peer_shares(report.sender.address, &report.rollouts);
        tracker.record_settling(now, report.sender.address, report.decides_in);
        let has_evidence =
            if let (Some(evidence), Some(target)) = (&report.evidence, &report.sender.target) {
                tracker.learn_evidence(now, &target.service, evidence);
                true
            } else {
                false
            };
        let learns_orders =
            report.knows_rollouts && !std::mem::replace(&mut tracker.knows_orders, true);
        for service in changed {
            self.apply_rollout_change(cx, &service, "peer");
        }
        if learns_orders {
            log::info!(event = "rollouts-known", source = "peer"; "");
            self.wake_target_waiters();
        }
        if has_evidence {
            self.decide_rollouts(cx);
        }
    }

    /// Adds what this daemon knows of rollouts to a report: the orders of the last seconds and the runs at the own
    /// target, or all orders in a full report.
    pub(crate) fn add_rollouts(&self, now: Instant, report: &mut Report, is_full: bool) {
        let Some(tracker) = &self.rollouts else {
            return;
        };
        let mut statuses = if is_full {
            tracker.newest(now)
        } else {
            tracker.rollouts.to_report(now)
        };
        statuses.truncate(Rollouts::MAX_REPORTED);
        // When all daemons start together, those that follow relays get full reports before the relays know the orders.
        let told_all = statuses.len() == tracker.rollouts.statuses(now).len();
        report.knows_rollouts = tracker.knows_orders && told_all;
        report.rollouts = statuses;
        report.decides_in = self.decides_in(now);
        report.evidence = tracker.evidence_of(now, self.own_target.record());
    }

    /// Returns the daemon that decides, if it has to hear of the runs at the own target in each turn of reports.
    pub(crate) fn reported_decider(&self, now: Instant) -> Option<SocketAddr> {
        let tracker = self.rollouts.as_ref()?;
        if tracker.all_running(now).is_empty() {
            return None;
        }
        self.decider(now)
    }

    /// Returns the daemon that decides on rollouts: the lead relay. While no relay is known, as when the store is away
    /// or no link is fast, it is the first alive daemon by address, of those that may become relays if there are any.
    ///
    /// Daemons that decide nothing yet are passed over, or a rollout would stand still while the first one settles.
    fn decider(&self, now: Instant) -> Option<SocketAddr> {
        let tracker = self.rollouts.as_ref()?;
        let own_address = self.settings.peer_address;
        let is_settling = |address| {
            if address == own_address {
                !self.decides_in(now).is_zero()
            } else {
                tracker.is_settling(now, address)
            }
        };
        let deciding = self.directory.peers().filter(|(address, _)| {
            self.directory.is_alive(now, **address) && !is_settling(**address)
        });
        let first = deciding.min_by_key(|(address, peer)| {
            let record = peer.record();
            (!record.relays_config, !record.can_relay_config, **address)
        });
        first.map(|(address, _)| *address)
    }

    /// Returns how long this daemon still makes no decisions, since it started or was paused: it can't know yet which
    /// daemons are alive.
    fn decides_in(&self, now: Instant) -> Duration {
        let is_paused = self
            .tick_due_at
            .is_none_or(|due| now.saturating_duration_since(due) > MAX_TICK_DELAY);
        if is_paused {
            return SETTLE_TIME;
        }
        let since = self.resumed_at.unwrap_or(self.started_at);
        SETTLE_TIME.saturating_sub(now.saturating_duration_since(since))
    }

    /// Returns whether this daemon decides on rollouts, by reports that it received since it started or was paused.
    fn is_decider(&self, now: Instant) -> bool {
        self.decider(now) == Some(self.settings.peer_address)
    }

    /// Cleans up after orders that ended, latches the versions in use, and decides about running orders.
    pub(crate) fn tick_rollouts(&mut self, cx: CX![]) {
        let now = cx.now();
        let may_latch = self.may_send(now);
        let Some(tracker) = &mut self.rollouts else {
            return;
        };
        if may_latch && std::mem::take(&mut tracker.latch_due) {
            let targets = self
                .directory
                .peers()
                .filter_map(|(_, peer)| peer.record().target.as_ref());
            let services: BTreeSet<_> = targets.map(|target| &target.service).collect();
            for service in services {
                tracker.latch(&self.directory, service);
            }
        }
        tracker.clean_up(now, &self.directory);
        self.decide_rollouts(cx);
    }

    /// As the decider, takes the next steps of all running orders, and has the status rows written.
    fn decide_rollouts(&mut self, cx: CX![]) {
        let now = cx.now();
        let Some(tracker) = &self.rollouts else {
            return;
        };
        let is_soon = tracker
            .decided_at
            .is_some_and(|at| now.saturating_duration_since(at) < DECISION_INTERVAL);
        if is_soon || tracker.rollouts.statuses(now).is_empty() || !self.is_decider(now) {
            return;
        }
        let running = tracker.all_running(now);
        if let Some(tracker) = &mut self.rollouts {
            tracker.decided_at = Some(now);
        }
        for status in running {
            let service = &status.order.service;
            match self.rollout_step(now, &status) {
                RolloutStep::Complete | RolloutStep::Keep => {}
                RolloutStep::RaiseShare(share) => {
                    let tracker = self.rollouts.as_mut();
                    if tracker.is_some_and(|it| it.rollouts.raise_share(now, service, share)) {
                        self.apply_rollout_change(cx, service, "decider");
                    }
                }
                RolloutStep::RollBack => {
                    // All daemons are told before the row is written, since going back is always safe.
                    let tracker = self.rollouts.as_mut();
                    if tracker.is_some_and(|it| it.rollouts.roll_back(service)) {
                        self.apply_rollout_change(cx, service, "decider");
                    }
                }
            }
        }
        if let Some(app) = self.app.clone()
            && self.next_status_write(now).is_some()
        {
            app.status_write_due.notify_one();
        }
    }

    /// Returns the next step of a running order, by what is known now.
    fn rollout_step(&mut self, now: Instant, status: &RolloutStatus) -> RolloutStep {
        let Some(tracker) = &mut self.rollouts else {
            return RolloutStep::Keep;
        };
        let target = self.own_target.record();
        if let (Some(evidence), Some(target)) = (tracker.evidence_of(now, target), target) {
            tracker.learn_evidence(now, &target.service, &evidence);
        }
        tracker.step(now, &self.directory, self.settings.peer_address, status)
    }

    /// Returns a status row that this daemon has to write as the decider, by what it knows now: a paused daemon may
    /// have become the decider, or its evidence old, since it decided.
    pub(crate) fn next_status_write(&mut self, now: Instant) -> Option<StatusWrite> {
        if !self.is_decider(now) {
            return None;
        }
        let tracker = self.rollouts.as_ref()?;
        for status in tracker.rollouts.statuses(now) {
            let service = &status.order.service;
            let is_completed = status.state == RolloutState::Running
                && status.share_per_mille >= RolloutPlan::WHOLE_SHARE_PER_MILLE
                && self.rollout_step(now, &status) == RolloutStep::Complete;
            let tracker = self.rollouts.as_ref()?;
            if is_completed || tracker.rollouts.needs_write(service) {
                return Some(StatusWrite {
                    service: service.clone(),
                    state: if is_completed {
                        RolloutState::Completed
                    } else {
                        status.state
                    },
                    to: status.order.to,
                });
            }
        }
        None
    }

    /// Logs what is known now of a service's order, and tells it.
    ///
    /// What a daemon read in the store or decided goes to all at once. What it heard of a peer is told on at once by
    /// relays, and by others in their regular reports: each daemon's telling all would be the square of the fleet.
    fn apply_rollout_change(&mut self, cx: CX![], service: &str, source: &str) {
        let now = cx.now();
        let Some(tracker) = &self.rollouts else {
            return;
        };
        if let Some(status) = tracker.rollouts.status(now, service) {
            let (totals, verdict) = tracker.findings(service).unzip();
            let [(runs, failures), (old_runs, old_failures)] = totals.unwrap_or_default();
            let verdict = verdict.map_or_else(String::new, |verdict| verdict.to_string());
            log::info!(
                event = "rollout", service = service, to = &*status.order.to,
                state = status.state.to_string().as_str(), share_per_mille = status.share_per_mille, source = source,
                age_ms = millis(status.age), era = status.order.position.era.0,
                version = status.order.position.version, verdict = verdict.as_str(), runs = runs,
                failures = failures, old_runs = old_runs, old_failures = old_failures;
                ""
            );
        }
        self.wake_target_waiters();
        if source != "peer" || self.relays_config(now) {
            self.schedule_report(cx);
        }
        if source != "decider" {
            self.decide_rollouts(cx);
        }
    }
}

impl Node {
    /// Returns what is known of all orders, for operators; none where rollouts are off.
    pub(crate) fn rollouts_json(&self, now: Instant) -> Option<Value> {
        let tracker = self.rollouts.as_ref()?;
        let statuses = tracker.newest(now).into_iter().map(|status| {
            let service = &*status.order.service;
            let (totals, verdict) = tracker.findings(service).unzip();
            let [(runs, failures), (old_runs, old_failures)] = totals.unwrap_or_default();
            json!({
                "age_ms": millis(status.age),
                "decider": self.decider(now).map(|address| address.to_string()),
                "duration_ms": millis(status.order.duration),
                "failures": failures,
                "old_failures": old_failures,
                "old_runs": old_runs,
                "order_era": status.order.position.era.0,
                "order_version": status.order.position.version,
                "runs": runs,
                "service": service,
                "share_per_mille": status.share_per_mille,
                "state": status.state.to_string(),
                "stored": status.is_stored,
                "to": &*status.order.to,
                "verdict": verdict.map(|verdict| verdict.to_string()),
            })
        });
        Some(statuses.collect())
    }
}

impl RolloutTracker {
    /// Logs once that an order isn't followed.
    fn log_refused(&mut self, service: &str, position: StorePosition, error: &str) {
        let known = self.refused_positions.insert(service.into(), position);
        if known != Some(position) {
            log::warn!(event = "rollout-order-invalid", service = service, version = position.version, error = error; "");
        }
    }
}
