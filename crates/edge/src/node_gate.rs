use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use medlarspool_hop::RefusalReason;
use medlarspool_mesh::{
    AnnouncedState, Announcement, GateDecision, GateRequest, MeshConfig, RouteKey, TargetNotice,
};
use stakker::CX;
use tokio::sync::oneshot;

use crate::{
    admission::Admission, app::App, fault_injection::reach, fault_point::FaultPoint,
    gate_call::GateCall, hop_route::HopRoute, node::Node, node_timer::NodeTimer,
    running_work::RunningWork, slot_guard::SlotGuard, waiter::Waiter,
};

/// The weight of a new run in the moving average of failed runs, which follows a change within about ten
/// runs.
const FAILURE_SAMPLE_WEIGHT: f64 = 0.1;

impl Node {
    /// Handles an announcement of the own target; returns whether it is acknowledged.
    ///
    /// An announcement for a service that the configuration does not contain is not acknowledged.
    pub(crate) fn handle_announcement(&mut self, cx: CX![], announcement: &Announcement) -> bool {
        if let (Some(service), Some(config)) = (&announcement.service, &self.config)
            && !is_configured_service(config, service)
        {
            return false;
        }
        // Versions aren't told where rollouts are off.
        let without_version = self.rollouts.is_none().then(|| Announcement {
            version: "".into(),
            ..announcement.clone()
        });
        let announcement = without_version.as_ref().unwrap_or(announcement);
        let known = self.own_target.record().cloned();
        if self.own_target.receive_announcement(cx.now(), announcement) {
            let announced = self.own_target.record();
            let is_same = known
                .zip(announced)
                .is_some_and(|(known, announced)| known.is_same_incarnation(announced));
            if !is_same {
                self.called_services.clear();
                self.run_times.clear();
                self.failure_rate = 0.0;
                self.queue.limiter.reset(cx.now());
                self.target_notice = TargetNotice::default();
            }
            self.apply_target_change(cx);
            let state = self
                .own_target
                .record()
                .map_or(AnnouncedState::Gone, |known| known.state);
            log::info!(event = "target", target = &*announcement.id, state = state.to_string().as_str(), born_ms = announcement.born_ms, sequence = announcement.sequence; "");
        }
        true
    }

    /// Updates the gate after a change of the own target, reports the change and has the row in the store written.
    pub(crate) fn apply_target_change(&mut self, cx: CX![]) {
        self.update_gate(cx);
        self.schedule_report(cx);
    }

    /// Updates the gate after a change of the own target: sets its slots, refuses all waiting requests if it is not
    /// usable any more, and has the row in the store written.
    pub(crate) fn update_gate(&mut self, cx: CX![]) {
        let slots = self.own_target.usable().map(|target| target.slots);
        self.queue.set_slots(slots.unwrap_or_default());
        if slots.is_none() {
            for ticket in self.queue.clear() {
                if let Some(waiter) = self.waiters.remove(&ticket) {
                    // An error means that the request was cancelled meanwhile.
                    let _ = waiter.slot_sender.send(Err(RefusalReason::Moved));
                }
            }
        }
        self.grant_slots(cx);
        if let Some(app) = &self.app {
            app.row_changed.notify_one();
        }
    }

    /// Decides whether a request runs now, waits in the queue, or is refused.
    pub(crate) fn admit(&mut self, cx: CX![], app: &Rc<App>, call: &GateCall) -> Admission {
        reach(FaultPoint::Core, call.forwarded.id_text());
        let now = Instant::now();
        let refused = |reason, expected_wait| Admission::Refused {
            reason,
            expected_wait,
        };
        if call.deadline <= now {
            return refused(RefusalReason::Deadline, Duration::ZERO);
        }
        let Some(target) = self.own_target.usable() else {
            return refused(RefusalReason::Moved, Duration::ZERO);
        };
        if target.id != call.target_id || self.is_rolled_back(now, target) {
            return refused(RefusalReason::Moved, Duration::ZERO);
        }
        let account = call.account.as_ref();
        let account = match account.map(|it| self.check_account(it)).transpose() {
            Ok(account) => account,
            Err(reason) => return refused(reason, Duration::ZERO),
        };
        if self.crashes.is_quarantined(now, call.forwarded.fingerprint) {
            return refused(RefusalReason::Quarantined, Duration::ZERO);
        }
        self.queue.limiter.restore(now, call.known_limit);
        let expected_run_time = self
            .run_times
            .expected(call.route.key, call.route.assumed_run_time);
        if !self.may_start(app, now, call.deadline, &call.route) {
            return refused(RefusalReason::Stopping, Duration::ZERO);
        }
        let remaining = call.deadline.saturating_duration_since(now);
        let goal = call.route.goal;
        let latest_start = now + goal.max_wait(remaining, expected_run_time);
        let request = GateRequest {
            account,
            expected_run_time,
            is_call: call.route.is_call,
            latest_on_time_start: now + goal.on_time_wait(expected_run_time),
            latest_start,
            rank: call.route.rank,
        };
        match self.queue.request_slot(now, request, call.max_wait) {
            GateDecision::Refuse { expected_wait } => refused(RefusalReason::Busy, expected_wait),
            GateDecision::Start => {
                Admission::Started(self.begin_run(app, RunningWork::of(call), expected_run_time))
            }
            GateDecision::Wait(ticket) => {
                let (slot_sender, slot_receiver) = oneshot::channel();
                let waiter = Waiter {
                    deadline: call.deadline,
                    route: call.route,
                    slot_sender,
                    work: RunningWork::of(call),
                };
                self.waiters.insert(ticket, waiter);
                self.refuse_hopeless(now);
                self.schedule_next_arrival(cx);
                Admission::Waiting {
                    slot_receiver,
                    latest_start,
                    ticket,
                }
            }
        }
    }

    /// Returns whether a request that starts now is answered before a planned stop ends, if there is one.
    fn may_start(&self, app: &App, now: Instant, deadline: Instant, route: &HopRoute) -> bool {
        app.stop_times.get().is_none_or(|times| {
            let is_streamed = self.streamed_routes.contains(&route.key);
            let mean = self.run_times.mean(route.key).filter(|_| !is_streamed);
            now <= times.latest_start(deadline, mean, route.assumed_run_time)
        })
    }

    /// Refuses the queued requests that wouldn't be answered any more before a planned stop ends.
    pub(crate) fn refuse_late(&mut self, app: &App) {
        let now = Instant::now();
        let is_late = |waiter: &Waiter| !self.may_start(app, now, waiter.deadline, &waiter.route);
        let late = self.waiters.iter().filter(|(_, waiter)| is_late(waiter));
        let late: Vec<u64> = late.map(|(ticket, _)| *ticket).collect();
        for ticket in late {
            self.queue.cancel(ticket);
            if let Some(waiter) = self.waiters.remove(&ticket) {
                // An error means that the request was cancelled meanwhile.
                let _ = waiter.slot_sender.send(Err(RefusalReason::Stopping));
            }
        }
    }

    /// Refuses the queued requests that won't start in time any more.
    fn refuse_hopeless(&mut self, now: Instant) {
        for ticket in self.queue.remove_hopeless(now) {
            if let Some(waiter) = self.waiters.remove(&ticket) {
                // An error means that the request was cancelled meanwhile.
                let _ = waiter.slot_sender.send(Err(RefusalReason::Busy));
            }
        }
    }

    /// Records the start of a run.
    fn begin_run(
        &mut self,
        app: &Rc<App>,
        work: RunningWork,
        expected_run_time: Duration,
    ) -> SlotGuard {
        let run_number = self.next_run_number;
        self.next_run_number += 1;
        // The guard comes first, so that a panic releases the slot.
        let slot = SlotGuard::new(app.clone(), run_number, expected_run_time);
        self.called_services.record_run(work.route);
        self.running.insert(run_number, work);
        slot
    }

    /// Frees the slot of a run and grants it to the next request.
    pub(crate) fn end_run(&mut self, cx: CX![], run_number: u64, expected_run_time: Duration) {
        let ended = self.running.remove(&run_number);
        if ended.is_some_and(|work| work.was_suspect) {
            self.wake_held_suspects();
        }
        self.queue.finish(expected_run_time);
        self.grant_slots(cx);
    }

    /// Removes a request from the queue, after it was granted a slot, waited too long or was cancelled.
    pub(crate) fn cancel_wait(&mut self, ticket: u64) {
        self.queue.cancel(ticket);
        self.waiters.remove(&ticket);
    }

    /// Records the result of a run at the own target; `run_time` is `None` if it doesn't show how long a run
    /// takes.
    pub(crate) fn record_run(
        &mut self,
        route: RouteKey,
        assumed_run_time: Duration,
        run_time: Option<Duration>,
        failed: bool,
    ) {
        let failure_sample = f64::from(u8::from(failed));
        self.failure_rate += (failure_sample - self.failure_rate) * FAILURE_SAMPLE_WEIGHT;
        if let Some(run_time) = run_time {
            self.run_times.record(route, run_time, assumed_run_time);
        }
    }

    /// Grants free slots to waiting requests, as far as the target's limit allows; a request that was cancelled
    /// meanwhile gives its slot back.
    pub(crate) fn grant_slots(&mut self, cx: CX![]) {
        let Some(app) = self.app.clone() else { return };
        while let Some((ticket, expected_run_time)) = self.queue.start_next(Instant::now()) {
            let Some(waiter) = self.waiters.remove(&ticket) else {
                self.queue.undo_start(expected_run_time);
                continue;
            };
            let slot = self.begin_run(&app, waiter.work, expected_run_time);
            if let Err(Ok(slot)) = waiter.slot_sender.send(Ok(slot)) {
                let (run_number, expected_run_time) = slot.disarm();
                self.running.remove(&run_number);
                self.queue.undo_start(expected_run_time);
            }
        }
        self.schedule_next_arrival(cx);
    }

    /// Sets a timer for the next queued request if only the target's limit holds it back.
    fn schedule_next_arrival(&mut self, cx: CX![]) {
        let now = cx.now();
        let Some(wait) = self.queue.wait_for_arrival(now) else {
            return;
        };
        let at = now + wait;
        if self.next_arrival_at.is_none_or(|known| at < known) {
            self.next_arrival_at = Some(at);
            Self::set_timer(cx, wait, NodeTimer::NextArrival);
        }
    }

    /// Starts the next queued request. A timer that fires before the time that is due now was set for an earlier
    /// state of the queue, and does nothing.
    pub(crate) fn start_next_arrival(&mut self, cx: CX![]) {
        if self.next_arrival_at.is_some_and(|at| cx.now() < at) {
            return;
        }
        self.next_arrival_at = None;
        self.grant_slots(cx);
    }
}

/// Returns whether the configuration has a service.
pub(crate) fn is_configured_service(config: &MeshConfig, service: &Rc<str>) -> bool {
    config.health_paths.contains_key(service)
}
