use std::{
    cell::RefCell,
    rc::Rc,
    time::{Duration, Instant},
};

use medlarspool_adapter::headers;
use medlarspool_hop::{HopAccount, RefusalReason, hop_header, peer_path};
use medlarspool_mesh::{SendStamp, TargetLimit};
use medlarspool_types::Verdict;

use crate::{
    app::App,
    boot_clock::boot_time,
    forwarded_request::ForwardedRequest,
    gate::{admit_and_run, attach},
    gate_call::GateCall,
    gate_reply::GateReply,
    hop::{encode_calls, encode_load},
    hop_route::HopRoute,
    incoming_request::IncomingRequest,
    node_accounts::{has_account_headers, remove_account_headers},
    reply::Reply,
    run_key::RunKey,
    run_outcome::RunOutcome,
    run_report::RunReport,
    units::micros,
};

/// Serves other daemons: runs requests at the own target, replies to entries that lost a hop, and serves the
/// configuration.
pub(crate) async fn serve_peer(app: Rc<App>, incoming: IncomingRequest) -> Reply {
    if *incoming.head.request_target == *peer_path::CONFIG.as_bytes() {
        let bytes = app.core.with(|node, _| node.config_compressed.clone());
        return if bytes.is_empty() {
            Reply::status(404)
        } else {
            Reply::with_body(200, bytes)
        };
    }
    let work = app.track_work();
    let attach_incarnation = incoming.head.headers.text(hop_header::ATTACH);
    let attach_incarnation = attach_incarnation.map(|text| text.parse().unwrap_or_default());
    let Some(call) = parse_call(&app, incoming) else {
        return Reply::status(400);
    };
    let reply = match (RunKey::of(&call), attach_incarnation) {
        (Some(key), Some(incarnation)) => attach(app.clone(), &key, incarnation).await,
        (None, Some(_)) => return Reply::status(400),
        (_, None) => admit_and_run(app.clone(), call).await,
    };
    Reply {
        work: Some(work),
        ..encode_reply(reply)
    }
}

/// Reads a call to the gate from a hop's headers; returns `None` if one is missing or not valid.
fn parse_call(app: &Rc<App>, incoming: IncomingRequest) -> Option<GateCall> {
    let arrived_at = incoming.arrived_at;
    let mut head = incoming.head;
    let text = |name| head.headers.text(name);
    let millis = |name| text(name)?.parse().ok().map(Duration::from_millis);
    let account = match text(hop_header::ACCOUNT) {
        Some(account) => Some(HopAccount::decode(account)?),
        None if head.headers.get(hop_header::ACCOUNT).is_some() => return None,
        None => None,
    };
    let route = HopRoute::decode(text(hop_header::ROUTE)?)?;
    let target_id: Rc<str> = text(hop_header::TARGET)?.into();
    let remaining = millis(headers::DEADLINE_MS)?;
    let stamp = text(hop_header::SENT).and_then(SendStamp::parse);
    let deadline = deadline(app, arrived_at, remaining, stamp);
    let known_limit = text(hop_header::LIMIT).and_then(|number| number.parse().ok());
    let known_limit = known_limit.map_or(TargetLimit::Unknown, TargetLimit::from_number);
    let max_wait = millis(hop_header::MAX_WAIT_MS)?;
    let fingerprint = u64::from_str_radix(text(hop_header::FINGERPRINT)?, 16).ok()?;
    let id = head.headers.get(headers::REQUEST_ID).cloned();
    let has_unpaid_calls = head.headers.get(hop_header::RETRY).is_some();
    head.headers.retain_end_to_end();
    head.headers
        .remove_internal(&[headers::DEADLINE_MS], hop_header::PREFIX);
    // The entry has removed them, unless its configuration is an earlier one without accounts.
    if has_account_headers(&head.headers)
        && let Some(config) = app.core.with(|node, _| node.config.clone())
    {
        remove_account_headers(&config, &mut head.headers);
    }
    let forwarded = ForwardedRequest {
        body: incoming.body,
        fingerprint,
        framing: incoming.framing,
        headers: head.headers,
        id,
        method: std::str::from_utf8(&head.method).ok()?.into(),
        body_rest: RefCell::new(incoming.body_rest),
        request_target: head.request_target,
    };
    Some(GateCall {
        account,
        deadline,
        forwarded: Rc::new(forwarded),
        has_unpaid_calls,
        known_limit,
        max_wait,
        route,
        target_id,
    })
}

/// Returns the deadline of a call that had `remaining` time when it was sent. The time that it was delayed on its way
/// is part of that, as far as the stamp proves it.
fn deadline(
    app: &Rc<App>,
    arrived_at: Instant,
    remaining: Duration,
    stamp: Option<SendStamp>,
) -> Instant {
    let now = Instant::now();
    let delay = stamp.map(|stamp| {
        app.core
            .with(|node, _| node.transit_times.record(boot_time(), stamp))
    });
    let left = remaining.saturating_sub(delay.unwrap_or_default());
    (now + left).min(arrived_at + remaining).max(now)
}

/// Writes a gate's reply into the headers of a response.
fn encode_reply(reply: GateReply) -> Reply {
    let (encoded, verdict) = match reply.outcome {
        RunOutcome::Answered(response) => (Reply::from(response), Verdict::Ran),
        RunOutcome::Lost(reason) => (refused(reason), Verdict::MayHaveRun),
        RunOutcome::NotRun(reason) => (refused(reason), Verdict::NotRun),
    };
    let encoded = encoded.with_header(hop_header::VERDICT, verdict.to_string());
    let encoded = match reply.load {
        Some(load) => encoded.with_header(hop_header::LOAD, encode_load(load)),
        None => encoded,
    };
    match reply.run {
        Some(run) => with_run_report(encoded, &run),
        None => encoded,
    }
}

fn with_run_report(encoded: Reply, run: &RunReport) -> Reply {
    let encoded = if run.calls.is_empty() {
        encoded
    } else {
        encoded.with_header(hop_header::CALLS, encode_calls(&run.calls))
    };
    match run.run_time {
        Some(run_time) => encoded.with_header(hop_header::RUN_US, micros(run_time).to_string()),
        None => encoded,
    }
}

fn refused(reason: RefusalReason) -> Reply {
    Reply::status(200).with_header(hop_header::REFUSED, reason.as_str())
}
