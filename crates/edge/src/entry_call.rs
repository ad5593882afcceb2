use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use medlarspool_hop::RefusalReason;
use medlarspool_mesh::{
    CanaryChoice, QuotaCredit, RetrySafety, Route, TargetChoice, TargetLimit, TargetQuery,
};
use medlarspool_types::Verdict;
use tokio::time::timeout_at;

use crate::{
    app::App,
    attempts::Attempts,
    client_account::ClientAccount,
    failure::{Failure, RETRY_ELSEWHERE_AFTER},
    fault_injection::reach,
    fault_point::FaultPoint,
    forwarded_request::ForwardedRequest,
    gate_call::GateCall,
    gate_reply::GateReply,
    hop_route::HopRoute,
    in_flight_guard::InFlightGuard,
    next_step::NextStep,
    pending_hops::{HopEvent, PendingHop, PendingHops},
    quota_admission::take_credit,
    reply::Reply,
    request_scope::contain_request,
    run_outcome::RunOutcome,
    stop_bounds::StopBounds,
    stop_phase::StopPhase,
    target_headers::says_it_leaves,
    units::micros,
};

/// The shortest remaining time in which a request is still sent to a target.
const MIN_TIME_TO_SEND: Duration = Duration::from_millis(5);

/// How long after the deadline the client gets a response at the latest: longer than the gate's reply is
/// awaited.
const RESPONSE_GRACE: Duration = Duration::from_millis(100);

/// How long before the deadline a target's error response is passed on at the latest, so that the client still gets it.
const ERROR_RESPONSE_MARGIN: Duration = Duration::from_millis(50);

/// The share of the remaining time for which a request waits until any target is usable.
const WAIT_FOR_TARGET_SHARE: f64 = 0.3;

/// The share of its remaining time that a call may take, where calls may wait longer than their target latency. With
/// all of it, calls on congested links were sent to targets half a second after their callers had left.
const CALL_WAIT_SHARE: f64 = 0.5;

/// How many attempts may end without a run and be followed by another one. The last attempt waits at its
/// gate as long as the route allows, also if another target would become the better choice.
const MAX_NOT_RUN_ATTEMPTS: usize = 4;

/// One request of a client, from its route to its response.
pub(crate) struct EntryCall {
    /// The client's account; none if the request needs no key.
    pub(crate) account: Option<ClientAccount>,
    /// When the request arrived at this daemon.
    pub(crate) arrived_at: Instant,
    pub(crate) deadline: Instant,
    pub(crate) forwarded: Rc<ForwardedRequest>,
    /// Whether a run waits for the request, so that it may wait at a gate for [`CALL_WAIT_SHARE`] of its time, and not
    /// only as long as it can be in time.
    pub(crate) has_waiting_run: bool,
    /// Whether the target beside this daemon may have sent the request while it runs another one. No promise to the sender
    /// may depend on it.
    pub(crate) is_target_call: bool,
    /// The rank at the gates, in which the account's priority goes before the route's rank.
    pub(crate) rank: u32,
    pub(crate) route: Rc<Route>,
    /// The service of the route that gets the request.
    pub(crate) service: Rc<str>,
}

impl EntryCall {
    /// Attempts targets until one answers or no further attempt is allowed; records and logs the result.
    pub(crate) async fn answer(&self, app: &Rc<App>) -> Reply {
        let credit = match &self.account {
            Some(client) => take_credit(app, client).await,
            None => Ok(None),
        };
        let credit = match credit {
            Ok(credit) => credit,
            Err(failure) => return self.refuse(app, &Attempts::default(), &failure),
        };
        app.core.with(|node, cx| {
            node.count_request(cx.now(), &self.service);
            if self.is_target_call {
                node.count_target_call(cx.now(), &self.service, self.deadline);
            }
        });
        let mut attempts = Attempts::default();
        if let Err(failure) = self.check_calls(app) {
            self.give_back(app, credit, &failure);
            return self.refuse(app, &attempts, &failure);
        }
        let response_deadline = self.deadline + RESPONSE_GRACE;
        let unanswered = UnansweredGuard { app, call: self };
        let result = timeout_at(
            response_deadline.into(),
            self.attempt_targets(app, &mut attempts),
        )
        .await;
        let result = result.unwrap_or_else(|_| Err(Failure::may_have_run(RefusalReason::Deadline)));
        unanswered.disarm();
        let result = match (result, attempts.error_response.take()) {
            (Err(_), Some(reply)) => Ok(reply),
            (result, _) => result,
        };
        let response_time = self.arrived_at.elapsed();
        if self.is_target_call {
            let failed = result.as_ref().map_or(true, |reply| reply.status >= 500);
            app.core.with(|node, _| {
                node.called_services
                    .record_call_result(&self.service, failed);
            });
        }
        match result {
            Ok(reply) => {
                app.metrics.record_response(reply.status, response_time);
                if reply.status >= 500 {
                    log::info!(
                        event = "target-error", id = self.forwarded.id_text(), status = reply.status,
                        service = &*self.service, after_us = micros(response_time), arrivals = attempts.arrival_count,
                        canaries = attempts.logged_canary_count();
                        ""
                    );
                }
                reply
            }
            Err(failure) => {
                self.give_back(app, credit, &failure);
                self.refuse(app, &attempts, &failure)
            }
        }
    }

    /// Gives back the credit of a request that did not run.
    fn give_back(&self, app: &Rc<App>, credit: Option<QuotaCredit>, failure: &Failure) {
        if let (Some(client), Some(credit), Verdict::NotRun) =
            (&self.account, credit, failure.verdict)
        {
            app.core
                .with(|node, cx| node.give_back_credit(cx.now(), &client.account.name, credit));
        }
    }

    /// Refuses a share of the requests of a route whose calls fail mostly, before their targets work for them. The
    /// retry delays are spread over the target latency, since it isn't known when the calls will be served again.
    fn check_calls(&self, app: &Rc<App>) -> Result<(), Failure> {
        let admitted_share = app
            .core
            .with(|node, _| node.route_costs.admitted_share(self.route.key));
        if fastrand::f64() < admitted_share {
            return Ok(());
        }
        let retry_after = self.route.target_latency.mul_f64(0.5 + fastrand::f64());
        Err(Failure {
            retry_after: Some(retry_after),
            ..Failure::not_run(RefusalReason::CallsFail)
        })
    }

    /// Records and logs a request that gets no answer of a target, and builds the reply.
    fn refuse(&self, app: &Rc<App>, attempts: &Attempts, failure: &Failure) -> Reply {
        app.metrics.record_refusal(failure.reason);
        let (config_version, targets) = app.core.with(|node, cx| {
            let targets = node.directory.usable_target_count(cx.now(), &self.service);
            (node.config_version(), targets)
        });
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        log::info!(
            event = "refused", id = self.forwarded.id_text(), reason = failure.reason.as_str(),
            verdict = failure.verdict.to_string().as_str(), service = &*self.service,
            after_us = micros(self.arrived_at.elapsed()), arrivals = attempts.arrival_count, turns = attempts.not_run_count,
            left_us = micros(remaining), targets = targets, config_version = config_version,
            canaries = attempts.logged_canary_count();
            ""
        );
        failure.reply(self.forwarded.id.as_ref())
    }

    /// Sends copies of the request to targets until one answers; returns its response, or why there is none.
    ///
    /// Another copy is sent only while no other one is on its way, or while all gates that have one are silent.
    async fn attempt_targets(
        &self,
        app: &Rc<App>,
        attempts: &mut Attempts,
    ) -> Result<Reply, Failure> {
        let mut hops = PendingHops::default();
        loop {
            let sending = self.send_copy(app, attempts, &mut hops);
            let sent = contain_request(self.forwarded.id.clone(), sending).await;
            let sent = sent.unwrap_or_else(|| {
                attempts.is_final = true;
                Err(Failure::may_have_run(RefusalReason::HopLost))
            });
            // The gates that are silent may still answer.
            if let Err(failure) = sent
                && hops.is_empty()
            {
                return Err(failure);
            }
            loop {
                match self.handle_event(app, attempts, &mut hops).await? {
                    NextStep::Answer(reply) => return Ok(reply),
                    NextStep::SendCopy => break,
                    NextStep::Wait => {}
                }
            }
        }
    }

    /// Sends a copy of the request to the gate of the best target.
    async fn send_copy<'a>(
        &self,
        app: &'a Rc<App>,
        attempts: &mut Attempts,
        hops: &mut PendingHops<'a>,
    ) -> Result<(), Failure> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        if remaining < MIN_TIME_TO_SEND {
            return Err(attempts.give_up(RefusalReason::Deadline));
        }
        let fingerprint = self.forwarded.fingerprint;
        let is_quarantined = app
            .core
            .with(|node, cx| node.crashes.is_quarantined(cx.now(), fingerprint));
        if is_quarantined {
            return Err(attempts.give_up(RefusalReason::Quarantined));
        }
        let choice = self.choose(app, attempts).await?;
        let in_flight = InFlightGuard {
            address: choice.address,
            app,
            is_download: self.route.is_download,
        };
        reach(FaultPoint::Entry, self.forwarded.id_text());
        let call = self.gate_call(app, attempts, &choice);
        self.check_stop(app, attempts, Some(choice.address))?;
        let seems_busy = choice.expected_wait > call.max_wait;
        if seems_busy && !self.may_ask_busy_gate(app) {
            // By the latest loads that the gates reported, each of them would refuse the request.
            attempts.record_wait(choice.expected_wait.saturating_sub(call.max_wait));
            return Err(attempts.give_up(RefusalReason::Busy));
        }
        if choice.is_canary {
            self.record_canary_send(app, attempts);
        }
        let is_paid = std::mem::take(&mut attempts.is_copy_paid);
        hops.send(app, choice, call, in_flight, seems_busy, is_paid);
        Ok(())
    }

    /// Waits for the next event of the pending copies; returns an error if there is nothing left to wait for.
    async fn handle_event(
        &self,
        app: &Rc<App>,
        attempts: &mut Attempts,
        hops: &mut PendingHops<'_>,
    ) -> Result<NextStep, Failure> {
        // A target's error response is passed on in time if no other copy is answered until then.
        let wait_deadline = if attempts.error_response.is_some() {
            let before_deadline = self.deadline.checked_sub(ERROR_RESPONSE_MARGIN);
            before_deadline.unwrap_or(self.deadline)
        } else {
            self.deadline + RESPONSE_GRACE
        };
        match timeout_at(wait_deadline.into(), hops.next_event()).await {
            Err(_) => Err(Failure::may_have_run(RefusalReason::Deadline)),
            Ok(HopEvent::Replied(hop, reply)) => {
                self.record_reply(app, &hop.choice, &reply);
                self.handle_reply(app, attempts, hops, &hop, reply)
            }
            Ok(HopEvent::Silent(index)) => {
                Ok(if self.begin_second_copy(app, attempts, hops, index) {
                    NextStep::SendCopy
                } else {
                    NextStep::Wait
                })
            }
        }
    }

    /// Handles a gate's reply to a copy that isn't pending any more.
    fn handle_reply(
        &self,
        app: &Rc<App>,
        attempts: &mut Attempts,
        hops: &PendingHops<'_>,
        hop: &PendingHop<'_>,
        reply: GateReply,
    ) -> Result<NextStep, Failure> {
        let (reason, is_not_run) = match reply.outcome {
            RunOutcome::Answered(response) if response.status < 500 => {
                return Ok(NextStep::Answer(Reply::from(response)));
            }
            RunOutcome::Answered(response) => {
                attempts.record_arrival(&hop.choice);
                attempts.error_response = Some(Reply::from(response));
                (RefusalReason::TargetFailed, false)
            }
            RunOutcome::Lost(reason) => {
                attempts.record_arrival(&hop.choice);
                attempts.may_have_run = true;
                (reason, false)
            }
            RunOutcome::NotRun(reason) => {
                if hop.seems_busy && reason == RefusalReason::Busy {
                    self.record_account_refusal(app);
                }
                let wait_us = reply.load.map_or(0, |load| load.wait_us);
                attempts.record_not_run(hop, reason, Duration::from_micros(wait_us.into()));
                (reason, true)
            }
        };
        if hops.has_responsive() {
            return Ok(NextStep::Wait);
        }
        let checked = if hop.has_body_rest || attempts.is_final {
            Err(attempts.give_up(reason))
        } else if is_not_run {
            let checked = self.check_not_run(app, attempts, hops, reason);
            attempts.is_final = checked.is_err();
            checked
        } else if self.try_begin_retry(app, attempts, hops) {
            Ok(())
        } else {
            Err(attempts.give_up(reason))
        };
        match checked {
            Ok(()) => Ok(NextStep::SendCopy),
            Err(failure) if hops.is_empty() => Err(failure),
            Err(_) => Ok(NextStep::Wait),
        }
    }

    /// Returns whether a gate that is too busy by its load may start the request nevertheless, since other accounts fill
    /// its queue.
    fn may_ask_busy_gate(&self, app: &Rc<App>) -> bool {
        self.account.as_ref().is_some_and(|client| {
            app.core.with(|node, cx| {
                let name = &client.account.name;
                let refusals = &node.account_refusals;
                refusals.may_ask(cx.now(), name, &self.service)
            })
        })
    }

    /// Records that a gate that was too busy by its load refused the request.
    fn record_account_refusal(&self, app: &Rc<App>) {
        if let Some(client) = &self.account {
            app.core.with(|node, cx| {
                let name = &client.account.name;
                node.account_refusals.record(cx.now(), name, &self.service);
            });
        }
    }

    /// Returns an error if no other copy may be sent after one that did not run.
    fn check_not_run(
        &self,
        app: &Rc<App>,
        attempts: &mut Attempts,
        hops: &PendingHops<'_>,
        reason: RefusalReason,
    ) -> Result<(), Failure> {
        match reason {
            RefusalReason::Quarantined => return Err(attempts.give_up(reason)),
            // The gate may have had a newer configuration, which has arrived here meanwhile.
            RefusalReason::UnknownKey if !attempts.may_have_run && !self.has_known_key(app) => {
                return Err(Failure::not_run(RefusalReason::Unauthorized));
            }
            RefusalReason::TargetRefused => {
                if attempts.arrival_count + hops.count() >= self.route.max_attempts {
                    return Err(attempts.give_up(RefusalReason::AttemptsUsedUp));
                }
                if !self.take_from_retry_budget(app, attempts) {
                    return Err(attempts.give_up(RefusalReason::NoBudget));
                }
            }
            _ => {}
        }
        if attempts.not_run_count > MAX_NOT_RUN_ATTEMPTS {
            return Err(attempts.give_up(reason));
        }
        Ok(())
    }

    /// Returns whether the configuration in force still has the client's key.
    fn has_known_key(&self, app: &Rc<App>) -> bool {
        self.account.as_ref().is_none_or(|client| {
            let config = app.core.with(|node, _| node.config.clone());
            config.is_some_and(|config| config.account(&client.key).is_some())
        })
    }

    /// Begins another copy of a request whose hop with this index is silent, if it would most likely run and is allowed.
    fn begin_second_copy(
        &self,
        app: &Rc<App>,
        attempts: &mut Attempts,
        hops: &PendingHops<'_>,
        index: usize,
    ) -> bool {
        let hop = hops.get(index);
        if hops.has_responsive()
            || hop.has_body_rest
            || attempts.is_final
            || !self.has_other_target(app, attempts, hops, &hop.choice)
        {
            return false;
        }
        attempts.exclude(&hop.choice);
        attempts.failed_at_canary |= hop.choice.is_canary;
        self.try_begin_retry(app, attempts, hops)
    }

    /// Begins a retry of a request that may have run, if it is allowed: counts and logs it. Returns whether it is
    /// allowed.
    ///
    /// A run whose calls fail mostly is not repeated: it would work for nothing, and its calls would take room from
    /// those of other runs.
    fn try_begin_retry(
        &self,
        app: &Rc<App>,
        attempts: &mut Attempts,
        hops: &PendingHops<'_>,
    ) -> bool {
        let arrival_count = attempts.arrival_count + hops.count();
        let is_retried =
            self.may_retry(app, arrival_count) && self.take_from_retry_budget(app, attempts);
        if is_retried {
            app.metrics.retries.inc();
            log::info!(event = "repeat", id = self.forwarded.id_text(), service = &*self.service, arrivals = arrival_count, canaries = attempts.logged_canary_count(); "");
        }
        is_retried
    }

    /// Returns whether the route and the remaining time allow a retry of a request whose copies may arrive at
    /// `arrival_count` targets.
    fn may_retry(&self, app: &Rc<App>, arrival_count: u32) -> bool {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        self.route.retry_safety == RetrySafety::Idempotent
            && arrival_count < self.route.max_attempts
            && remaining > self.route.assumed_run_time()
            && !app
                .core
                .with(|node, _| node.route_costs.calls_fail_mostly(self.route.key))
    }

    /// Returns whether a request whose hop to the present choice is silent would most likely run at another target:
    /// whether a retry is allowed, the budget covers it, and a gate has room for it.
    fn has_other_target(
        &self,
        app: &Rc<App>,
        attempts: &Attempts,
        hops: &PendingHops<'_>,
        present: &TargetChoice,
    ) -> bool {
        if !self.may_retry(app, attempts.arrival_count + hops.count()) {
            return false;
        }
        let mut excluded_daemons = attempts.excluded_daemons.clone();
        excluded_daemons.push(present.address);
        let other = app.core.with(|node, cx| {
            let now = cx.now();
            let daemon_count = node.directory.alive_count(now);
            let costs = node.route_costs.of_retry(self.route.key, &self.service);
            let query = self.target_query(&excluded_daemons);
            let is_covered =
                attempts.is_copy_paid || node.retry_budget.covers(now, &costs, daemon_count);
            let avoids_canaries = attempts.failed_at_canary || present.is_canary;
            is_covered.then(|| node.choose_by_version(now, &query, avoids_canaries))?
        });
        other.is_some_and(|other| {
            other.expected_wait <= self.gate_call(app, attempts, &other).max_wait
        })
    }

    /// Takes a retry, and the calls that its run makes, out of the budget, unless that was done for a copy which then
    /// did not run; returns whether the budget had them.
    fn take_from_retry_budget(&self, app: &Rc<App>, attempts: &mut Attempts) -> bool {
        if attempts.is_copy_paid {
            return true;
        }
        attempts.is_copy_paid = app.core.with(|node, cx| {
            let now = cx.now();
            let daemon_count = node.directory.alive_count(now);
            let costs = node.route_costs.of_retry(self.route.key, &self.service);
            attempts.has_unpaid_calls = node.route_costs.calls(self.route.key).is_none();
            node.retry_budget.try_spend(now, &costs, daemon_count)
        });
        attempts.is_copy_paid
    }

    /// Chooses a target; on the first attempt waits for a while if none is usable, as after a start.
    async fn choose(
        &self,
        app: &Rc<App>,
        attempts: &mut Attempts,
    ) -> Result<TargetChoice, Failure> {
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let wait_deadline = Instant::now() + remaining.mul_f64(WAIT_FOR_TARGET_SHARE);
        loop {
            let changed = app.targets_changed.notified();
            let query = self.target_query(&attempts.excluded_daemons);
            let avoids_canaries = attempts.failed_at_canary;
            let choice = app
                .core
                .with(|node, cx| node.choose(cx.now(), &query, avoids_canaries));
            if let Some(choice) = choice {
                return Ok(choice);
            }
            self.check_stop(app, attempts, None)?;
            if !attempts.excluded_daemons.is_empty() {
                let reason = attempts.last_reason.unwrap_or(RefusalReason::NoTarget);
                return Err(attempts.give_up(reason));
            }
            if timeout_at(wait_deadline.into(), changed).await.is_err() {
                return Err(attempts.give_up(RefusalReason::NoTarget));
            }
        }
    }

    fn target_query<'a>(&'a self, excluded_daemons: &'a [SocketAddr]) -> TargetQuery<'a> {
        TargetQuery {
            assumed_run_time: self.route.assumed_run_time(),
            canary: CanaryChoice::Avoided,
            excluded_daemons,
            is_call: self.is_target_call,
            is_download: self.route.is_download,
            rank: self.rank,
            route: self.route.key,
            service: &self.service,
            target_latency: self.route.target_latency,
            versions: None,
        }
    }

    /// Refuses a request that would start at a daemon's target, or at any, too late to be answered before a planned stop
    /// of this daemon ends.
    fn check_stop(
        &self,
        app: &Rc<App>,
        attempts: &mut Attempts,
        address: Option<SocketAddr>,
    ) -> Result<(), Failure> {
        let bounds = self.stop_bounds(app, address);
        if bounds.is_none_or(|bounds| Instant::now() <= bounds.latest_start) {
            return Ok(());
        }
        attempts.record_wait(RETRY_ELSEWHERE_AFTER);
        Err(attempts.give_up(RefusalReason::Stopping))
    }

    /// Returns when the request may run at a daemon's target, or at any, in a planned stop of this daemon; `None` outside of
    /// one.
    fn stop_bounds(&self, app: &Rc<App>, address: Option<SocketAddr>) -> Option<StopBounds> {
        let times = app.stop_times.get()?;
        let assumed_run_time = self.route.assumed_run_time();
        let mean_run_time = app.core.with(|node, _| {
            let peer = node.directory.peer(address?)?;
            let is_streamed = node.streamed_routes.contains(&self.route.key);
            let mean_run_time = peer.mean_run_time(self.route.key);
            mean_run_time.filter(|_| !is_streamed)
        });
        Some(times.bounds(
            self.deadline,
            self.route.retry_safety,
            mean_run_time,
            assumed_run_time,
        ))
    }

    /// Builds the call to the gate of the chosen target.
    fn gate_call(&self, app: &Rc<App>, attempts: &Attempts, choice: &TargetChoice) -> GateCall {
        let now = Instant::now();
        let stop_bounds = self.stop_bounds(app, Some(choice.address));
        let deadline = stop_bounds.map_or(self.deadline, |bounds| bounds.deadline);
        let remaining = deadline.saturating_duration_since(now);
        let waited = now.saturating_duration_since(self.arrived_at);
        let assumed_run_time = self.route.assumed_run_time();
        let (expected_run_time, known_limit) = app.core.with(|node, _| {
            let peer = node.directory.peer(choice.address);
            peer.map_or((assumed_run_time, TargetLimit::Unknown), |peer| {
                let expected = peer.expected_run_time(self.route.key, assumed_run_time);
                (expected, peer.limit())
            })
        });
        let mut route = HopRoute::of(&self.route, self.rank, waited, self.is_target_call);
        if self.has_waiting_run {
            route.goal.target_latency = remaining.mul_f64(CALL_WAIT_SHARE);
        }
        let mut route_max_wait = route.goal.max_wait(remaining, expected_run_time);
        if let Some(bounds) = stop_bounds {
            route_max_wait = route_max_wait.min(bounds.latest_start.saturating_duration_since(now));
        }
        let max_wait = match choice.max_wait {
            Some(choice_max_wait) if attempts.not_run_count < MAX_NOT_RUN_ATTEMPTS => {
                choice_max_wait.min(route_max_wait)
            }
            _ => route_max_wait,
        };
        GateCall {
            account: self.account.as_ref().map(ClientAccount::for_hop),
            deadline,
            forwarded: self.forwarded.clone(),
            has_unpaid_calls: attempts.has_unpaid_calls,
            known_limit,
            max_wait,
            route,
            target_id: choice.target_id.clone(),
        }
    }

    /// Records that the request is sent to a target whose version is being rolled out.
    fn record_canary_send(&self, app: &Rc<App>, attempts: &mut Attempts) {
        attempts.canary_count += 1;
        app.metrics
            .rollouts
            .canary_requests
            .with_label_values(&[&*self.service])
            .inc();
        app.core.with(|node, cx| {
            if let Some(tracker) = &mut node.rollouts {
                tracker.record_canary_send(cx.now(), &self.service);
            }
        });
    }

    /// Updates the directory with the load and the run time in a gate's reply, and with what the target's response
    /// says of it.
    fn record_reply(&self, app: &Rc<App>, choice: &TargetChoice, reply: &GateReply) {
        let (is_leaving, is_streamed) = match &reply.outcome {
            RunOutcome::Answered(response) => (
                says_it_leaves(&response.headers),
                response.streamed_body.is_some(),
            ),
            RunOutcome::Lost(_) | RunOutcome::NotRun(_) => (false, false),
        };
        app.core.with(|node, cx| {
            let now = cx.now();
            if is_streamed {
                node.streamed_routes.insert(self.route.key);
            }
            if let Some(peer) = node.directory.peer_mut(choice.address) {
                if is_leaving {
                    peer.mark_leaving(&choice.target_id);
                }
                peer.receive_load(now, reply.load);
                if let Some(run_time) = reply.run.as_ref().and_then(|run| run.run_time) {
                    peer.record_run(self.route.key, run_time, self.route.assumed_run_time());
                }
            }
            if let Some(tracker) = &mut node.rollouts {
                let (reached_target, is_unspent) = match &reply.outcome {
                    RunOutcome::Answered(_) | RunOutcome::NotRun(RefusalReason::TargetRefused) => {
                        (true, false)
                    }
                    RunOutcome::Lost(_) => (false, false),
                    RunOutcome::NotRun(_) => (false, choice.is_canary),
                };
                tracker.record_send_result(now, &self.service, reached_target, is_unspent);
            }
            if let Some(run) = &reply.run {
                node.route_costs.record(self.route.key, run.calls.clone());
            }
        });
    }
}

/// Logs on drop that a request gets no response, since its client closed the connection or the process ends, unless it
/// was disarmed.
struct UnansweredGuard<'a> {
    app: &'a App,
    call: &'a EntryCall,
}

impl UnansweredGuard<'_> {
    fn disarm(self) {
        std::mem::forget(self);
    }
}

impl Drop for UnansweredGuard<'_> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            return;
        }
        let call = self.call;
        let id = call.forwarded.id_text();
        let after_us = micros(call.arrived_at.elapsed());
        if self.app.stop_phase.get() == StopPhase::Stopped {
            let left = call.deadline.saturating_duration_since(Instant::now());
            log::warn!(event = "cut-off", id = id, service = &*call.service, after_us = after_us, left_us = micros(left), is_call = call.is_target_call; "");
        } else {
            log::info!(event = "client-left", id = id, service = &*call.service, after_us = after_us; "");
        }
    }
}
