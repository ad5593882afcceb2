use std::{rc::Rc, time::Instant};

use medlarspool_hop::RefusalReason;
use medlarspool_mesh::{RetrySafety, RouteKey};
use tokio::{sync::oneshot, time::timeout_at};

use crate::{
    admission::Admission, app::App, contain::contain, fault_injection::reach,
    fault_point::FaultPoint, gate_call::GateCall, gate_reply::GateReply,
    request_scope::contain_request, response::Response, run_key::RunKey, run_outcome::RunOutcome,
    run_report::RunReport, run_table::AttachResult, send_permission::SendPermission,
    slot_guard::SlotGuard, target_run::run_at_target, ticket_guard::TicketGuard, units::micros,
};

/// How much time a request that waits for a suspect keeps for its own run, as a multiple of the expected run time.
const RUN_TIMES_BEFORE_DEADLINE: u32 = 2;

/// Runs a request at this daemon's own target as soon as there is a slot, or refuses it.
///
/// An idempotent request, or one without an id, is cancelled if the caller drops the future. An at-most-once
/// request with an id is cancelled only while it waits; once it runs, it runs to its end, and the reply is
/// retained for an entry that lost the hop.
pub(crate) async fn admit_and_run(app: Rc<App>, call: GateCall) -> GateReply {
    let key = match RunKey::of(&call) {
        Some(key) if call.route.retry_safety == RetrySafety::AtMostOnce => key,
        _ => {
            return match wait_for_slot(&app, &call).await {
                Ok(slot) => run(&app, call, slot).await,
                Err(reason) => reply_with_load(&app, RunOutcome::NotRun(reason)),
            };
        }
    };
    if !app.runs.begin(&key) {
        // The request arrived before, or was fenced when an entry that lost its hop asked for the outcome.
        return reply_with_load(&app, RunOutcome::Lost(RefusalReason::HopLost));
    }
    let pending_run = PendingRunGuard {
        app: &app,
        key: &key,
        armed: true,
    };
    let slot = match wait_for_slot(&app, &call).await {
        Ok(slot) => slot,
        Err(reason) => {
            let reply = reply_with_load(&app, RunOutcome::NotRun(reason));
            drop(pending_run);
            return reply;
        }
    };
    pending_run.disarm();
    let Some(receiver) = app.runs.subscribe(&key) else {
        return reply_with_load(&app, RunOutcome::NotRun(RefusalReason::Moved));
    };
    let task_app = app.clone();
    tokio::task::spawn_local(async move {
        let _work_guard = task_app.track_work();
        let running = run(&task_app, call, slot);
        let reply = contain_request(Some(key.id.clone()), running).await;
        let reply = reply
            .unwrap_or_else(|| GateReply::without_gate(RunOutcome::Lost(RefusalReason::HopLost)));
        task_app.runs.end(&key, reply);
    });
    await_run_end(&app, receiver).await
}

/// Waits for the reply of a run; the request counts as lost if nothing sends one.
async fn await_run_end(app: &Rc<App>, receiver: oneshot::Receiver<GateReply>) -> GateReply {
    receiver
        .await
        .unwrap_or_else(|_| reply_with_load(app, RunOutcome::Lost(RefusalReason::HopLost)))
}

/// Replies to an entry that lost the hop of the request with this key, which it sent to this daemon in `incarnation`.
///
/// It isn't known what an earlier incarnation of this daemon did with a request, so it may have run.
pub(crate) async fn attach(app: Rc<App>, key: &RunKey, incarnation: u64) -> GateReply {
    if app.core.with(|node, _| node.incarnation) != incarnation {
        return reply_with_load(&app, RunOutcome::Lost(RefusalReason::HopLost));
    }
    match app.runs.attach(key) {
        AttachResult::Ended(reply) => reply,
        AttachResult::NeverSeen => {
            reply_with_load(&app, RunOutcome::NotRun(RefusalReason::HopLost))
        }
        AttachResult::Running(receiver) => await_run_end(&app, receiver).await,
        AttachResult::Unavailable => {
            reply_with_load(&app, RunOutcome::Lost(RefusalReason::HopLost))
        }
    }
}

/// Records on drop that a waiting request did not run, also if its entry cancels it; disarmed once it runs.
struct PendingRunGuard<'a> {
    app: &'a Rc<App>,
    armed: bool,
    key: &'a RunKey,
}

impl PendingRunGuard<'_> {
    fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for PendingRunGuard<'_> {
    fn drop(&mut self) {
        if self.armed {
            let outcome = || RunOutcome::NotRun(RefusalReason::HopLost);
            // The guard is dropped in unwinding, too, where a further panic would abort the process.
            let reply_not_run = contain(|| reply_with_load(self.app, outcome()));
            let reply_not_run = reply_not_run.unwrap_or_else(|| GateReply::without_gate(outcome()));
            self.app.runs.end(self.key, reply_not_run);
        }
    }
}

/// Builds a gate's reply with its present load.
pub(crate) fn reply_with_load(app: &Rc<App>, outcome: RunOutcome) -> GateReply {
    GateReply {
        outcome,
        load: Some(app.core.with(|node, cx| node.load(cx.now()))),
        run: None,
    }
}

/// Asks the gate for a slot and waits for it if need be; returns the reason of a refusal as an error.
async fn wait_for_slot(app: &Rc<App>, call: &GateCall) -> Result<SlotGuard, RefusalReason> {
    let arrived_at = Instant::now();
    match app.core.with(|node, cx| node.admit(cx, app, call)) {
        Admission::Refused {
            reason,
            expected_wait,
        } => {
            log::info!(event = "gate-refused", id = call.forwarded.id_text(), reason = reason.as_str(), wait_us = micros(expected_wait); "");
            Err(reason)
        }
        Admission::Started(slot) => Ok(slot),
        Admission::Waiting {
            slot_receiver,
            latest_start,
            ticket,
        } => {
            let ticket_guard = TicketGuard {
                app: app.clone(),
                ticket,
            };
            let grant = timeout_at(latest_start.into(), slot_receiver).await;
            drop(ticket_guard);
            app.metrics
                .gate_wait
                .observe(arrived_at.elapsed().as_secs_f64());
            match grant {
                Ok(Ok(Ok(slot))) => Ok(slot),
                Ok(Ok(Err(reason))) => Err(reason),
                Ok(Err(_)) | Err(_) => Err(RefusalReason::Busy),
            }
        }
    }
}

/// Records the size of a response for the times that downloads take on the link. One that was read whole is queued on
/// the link here; others are queued when they begin.
fn record_download(app: &Rc<App>, route: RouteKey, response: &Response) {
    let is_download = || {
        let config = app.core.with(|node, _| node.config.clone());
        config.is_some_and(|config| config.is_download(route))
    };
    if app.active_buffers().is_none() || !is_download() {
        return;
    }
    if let Some(streamed_body) = &response.streamed_body {
        if let Some(length) = streamed_body.length {
            app.response_buffers.record_download(length);
        }
    } else {
        let length = response.body.len() as u64;
        app.response_buffers.queue_on_link(length);
        app.response_buffers.record_download(length);
    }
}

/// Waits while another request runs that is suspected of the same crash, as long as this one will most likely be answered
/// before its deadline: a late answer costs less than another crash. Returns whether it may be sent to the target; it may
/// not if it crashes targets.
async fn wait_for_permission(app: &Rc<App>, call: &GateCall, slot: &SlotGuard) -> bool {
    let run_time = slot.expected_run_time() * RUN_TIMES_BEFORE_DEADLINE;
    let latest_start = call.deadline.checked_sub(run_time);
    let latest_start = latest_start.unwrap_or(call.deadline);
    let mut may_share = false;
    loop {
        let changed = app.suspects_changed.notified();
        let permission = app
            .core
            .with(|node, _| node.permit_sending(Instant::now(), slot.run_number(), may_share));
        match permission {
            SendPermission::Granted => return true,
            SendPermission::Later => {
                may_share = timeout_at(latest_start.into(), changed).await.is_err();
            }
            SendPermission::Quarantined => return false,
        }
    }
}

/// Runs a request at the target and records its run time and result. The slot is occupied until the response
/// was read.
///
/// The time of a run that exceeded the deadline is recorded too: the run would have taken at least as long.
/// The time of other failed runs isn't, since it doesn't show how long a run takes.
async fn run(app: &Rc<App>, call: GateCall, slot: SlotGuard) -> GateReply {
    if !wait_for_permission(app, &call, &slot).await {
        drop(slot);
        return reply_with_load(app, RunOutcome::NotRun(RefusalReason::Quarantined));
    }
    let started_at = Instant::now();
    let mut outcome = run_at_target(app, &call).await;
    reach(FaultPoint::Gate, call.forwarded.id_text());
    let run_time = started_at.elapsed();
    let (succeeded, failed) = match &outcome {
        RunOutcome::Answered(response) => (response.status < 500, response.status >= 500),
        RunOutcome::Lost(RefusalReason::Deadline | RefusalReason::HopLost)
        | RunOutcome::NotRun(
            RefusalReason::NoConfig | RefusalReason::Unconfirmed | RefusalReason::UnknownKey,
        ) => (false, false),
        RunOutcome::Lost(_) | RunOutcome::NotRun(_) => (false, true),
    };
    let timed_out = matches!(outcome, RunOutcome::Lost(RefusalReason::Deadline));
    let run_time_sample = (succeeded || timed_out).then_some(run_time);
    let has_run = !matches!(outcome, RunOutcome::NotRun(_));
    let is_streamed =
        matches!(&outcome, RunOutcome::Answered(response) if response.streamed_body.is_some());
    app.core.with(|node, cx| {
        if is_streamed {
            node.streamed_routes.insert(call.route.key);
        }
        if has_run {
            // A run beyond the deadline counts by its time: with little time left, a good target misses it too.
            node.record_rollout_run(&call.target_id, call.route.key, run_time, failed);
        }
        node.record_run(
            call.route.key,
            call.route.assumed_run_time,
            run_time_sample,
            failed,
        );
        if succeeded || failed {
            node.called_services
                .record_run_result(call.route.key, failed);
        }
        if succeeded {
            node.record_completion(cx, slot.run_number());
        }
    });
    if succeeded && let RunOutcome::Answered(response) = &outcome {
        record_download(app, call.route.key, response);
    }
    if let RunOutcome::Answered(response) = &mut outcome
        && let Some(streamed_body) = &mut response.streamed_body
    {
        streamed_body.hold(Box::new(slot));
    } else {
        drop(slot);
    }
    let run = matches!(outcome, RunOutcome::Answered(_)).then(|| {
        let report = RunReport {
            calls: app
                .core
                .with(|node, _| node.called_services.of_route(call.route.key)),
            run_time: succeeded.then_some(run_time),
        };
        Box::new(report)
    });
    GateReply {
        run,
        ..reply_with_load(app, outcome)
    }
}
