use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use medlarspool_adapter::headers;
use medlarspool_hop::{RefusalReason, hop_header};
use medlarspool_mesh::{CalledService, RetrySafety, TargetLimit, TargetLoad};
use medlarspool_types::Verdict;
use tokio::time::timeout_at;

use crate::{
    app::App, byte_stream::ByteStream, exchange::exchange, exchange_error::ExchangeError,
    gate::admit_and_run, gate_call::GateCall, gate_reply::GateReply, header_list::HeaderList,
    response::Response, run_outcome::RunOutcome, run_report::RunReport,
    silence_limit::SilenceLimit,
};

/// The longest wait for a connection to another daemon. A round trip takes milliseconds, and a lost SYN
/// packet is sent again only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// After how long a lost TCP segment is sent again for the first time.
const RETRANSMISSION_TIMEOUT: Duration = Duration::from_millis(200);

/// How late an interim response may be besides: a round trip between availability zones, and the delays of a busy
/// entry and a busy gate.
const INTERIM_DELAY_MARGIN: Duration = Duration::from_millis(80);

/// After how long without a final response a gate sends an interim response to the entry.
pub(crate) const INTERIM_AFTER: Duration = Duration::from_millis(120);

/// How long a gate may be silent before the hop counts as lost. One lost segment may delay an interim response: a
/// limit of 350 ms, with an interim response every 150 ms, gave up about 15 hops a second to live gates on a fleet
/// of 78 instances.
const MAX_SILENCE: Duration = INTERIM_AFTER
    .saturating_add(RETRANSMISSION_TIMEOUT)
    .saturating_add(INTERIM_DELAY_MARGIN);

/// How long after the deadline the gate's reply is still awaited: longer than the gate awaits the response of
/// its target.
const REPLY_GRACE: Duration = Duration::from_millis(90);

/// Forwards a request to the gate of the chosen target and returns the gate's reply.
///
/// A silent hop is given up if `may_give_up` returns true.
pub(crate) async fn forward_to_gate(
    app: &Rc<App>,
    address: SocketAddr,
    call: GateCall,
    may_give_up: &dyn Fn() -> bool,
) -> GateReply {
    if address == app.settings.peer_address {
        return admit_and_run(app.clone(), call).await;
    }
    let incarnation = app.core.with(|node, _| {
        let peer = node.directory.peer(address);
        peer.map_or(0, |peer| peer.record().incarnation)
    });
    let pooled = app.peer_pool.take(address);
    let was_pooled = pooled.is_some();
    let stream = match pooled {
        Some(stream) => stream,
        None => match connect(app, address, call.deadline).await {
            Ok(stream) => stream,
            Err(outcome) => return GateReply::without_gate(outcome),
        },
    };
    match send(app, address, stream, &call, None, may_give_up).await {
        Ok(reply) => reply,
        Err(error) => {
            log::info!(event = "hop-lost", id = call.forwarded.id_text(), peer = address.to_string().as_str(), error = error.to_string().as_str(), kept = was_pooled; "");
            if was_pooled {
                // Other pooled connections to the same daemon are probably lost too.
                app.peer_pool.clear(address);
            }
            resolve_lost_hop(app, address, call, error, incarnation).await
        }
    }
}

/// Asks the gate for the outcome of an at-most-once request whose hop was lost, until the deadline.
///
/// Other requests, and those without an id, may have run.
async fn resolve_lost_hop(
    app: &Rc<App>,
    address: SocketAddr,
    call: GateCall,
    error: ExchangeError,
    incarnation: u64,
) -> GateReply {
    if call.route.retry_safety == RetrySafety::Idempotent || call.forwarded.id.is_none() {
        return GateReply::without_gate(RunOutcome::Lost(RefusalReason::HopLost));
    }
    if error == ExchangeError::RequestBodyAborted {
        return GateReply::without_gate(RunOutcome::Lost(RefusalReason::TargetFailed));
    }
    while call.deadline > Instant::now() {
        match connect(app, address, call.deadline).await {
            Ok(stream) => {
                let result = send(app, address, stream, &call, Some(incarnation), &|| true).await;
                if let Ok(reply) = result {
                    log::info!(event = "hop-settled", id = call.forwarded.id_text(), peer = address.to_string().as_str(); "");
                    return reply;
                }
            }
            // The daemon is down; it will know nothing of the request after a restart.
            Err(RunOutcome::NotRun(RefusalReason::NoTarget)) => break,
            Err(_) => {}
        }
    }
    GateReply::without_gate(RunOutcome::Lost(RefusalReason::HopLost))
}

/// Opens a connection to a daemon; marks the daemon as unreachable on an error.
async fn connect(
    app: &Rc<App>,
    address: SocketAddr,
    deadline: Instant,
) -> Result<ByteStream, RunOutcome> {
    let connecting = timeout_at(
        deadline.into(),
        ByteStream::connect(address, CONNECT_TIMEOUT),
    );
    match connecting.await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) => {
            log::info!(event = "peer-unreachable", peer = address.to_string().as_str(), error = error.to_string().as_str(); "");
            app.core.with(|node, cx| {
                let now = cx.now();
                node.directory.mark_unreachable(now, address);
            });
            let is_refused = error.kind() == std::io::ErrorKind::ConnectionRefused;
            Err(RunOutcome::NotRun(if is_refused {
                RefusalReason::NoTarget
            } else {
                RefusalReason::HopLost
            }))
        }
        Err(_) => Err(RunOutcome::NotRun(RefusalReason::Deadline)),
    }
}

/// Sends a request to a gate and reads its reply. With `attach_incarnation`, asks that incarnation of the
/// daemon for the outcome of a request that was sent before.
async fn send(
    app: &Rc<App>,
    address: SocketAddr,
    stream: ByteStream,
    call: &GateCall,
    attach_incarnation: Option<u64>,
    may_give_up: &dyn Fn() -> bool,
) -> Result<GateReply, ExchangeError> {
    let remaining = call.deadline.saturating_duration_since(Instant::now());
    let forwarded = &call.forwarded;
    let mut extra = HeaderList::default();
    let mut push = |name: &'static str, value: String| extra.push(name.as_bytes(), value);
    push(headers::DEADLINE_MS, remaining.as_millis().to_string());
    push(
        hop_header::FINGERPRINT,
        format!("{:x}", forwarded.fingerprint),
    );
    push(
        hop_header::MAX_WAIT_MS,
        call.max_wait.as_millis().to_string(),
    );
    if let Some(account) = &call.account {
        push(hop_header::ACCOUNT, account.encode());
    }
    if let TargetLimit::Limited(_) = call.known_limit {
        push(hop_header::LIMIT, call.known_limit.to_number().to_string());
    }
    push(hop_header::ROUTE, call.route.encode());
    let stamp = app.core.with(|node, _| node.send_stamp());
    push(hop_header::SENT, stamp.to_string());
    push(hop_header::TARGET, call.target_id.to_string());
    if call.has_unpaid_calls {
        push(hop_header::RETRY, "1".into());
    }
    if let Some(incarnation) = attach_incarnation {
        push(hop_header::ATTACH, incarnation.to_string());
    }
    let mut body_rest = match attach_incarnation {
        Some(_) => None,
        None => forwarded.body_rest.borrow_mut().take(),
    };
    let request = forwarded.outgoing(&extra, body_rest.as_mut());
    let silence = SilenceLimit {
        may_give_up,
        max_silence: MAX_SILENCE,
    };
    let bounded_exchange = timeout_at(
        (call.deadline + REPLY_GRACE).into(),
        exchange(stream, request, Some(&silence), app.active_buffers()),
    );
    let Ok(result) = bounded_exchange.await else {
        return Ok(GateReply::without_gate(RunOutcome::Lost(
            RefusalReason::Deadline,
        )));
    };
    let (mut response, reusable) = result?;
    response.set_deadline(call.deadline + REPLY_GRACE);
    if let Some(reusable) = reusable {
        app.peer_pool.put(address, reusable);
    }
    Ok(parse_reply(response))
}

/// Reads a gate's reply from the headers of its response.
fn parse_reply(mut response: Response) -> GateReply {
    let load = response.headers.text(hop_header::LOAD).map(decode_load);
    let calls = response
        .headers
        .text(hop_header::CALLS)
        .map(decode_calls)
        .unwrap_or_default();
    let run_time = response
        .headers
        .text(hop_header::RUN_US)
        .and_then(|text| text.parse().ok())
        .map(Duration::from_micros);
    let reason = response
        .headers
        .text(hop_header::REFUSED)
        .and_then(RefusalReason::parse);
    let verdict = response
        .headers
        .text(hop_header::VERDICT)
        .map(str::to_owned);
    let outcome = match (verdict.as_deref(), reason) {
        (Some(verdict), Some(reason)) if verdict == Verdict::NotRun.to_string() => {
            RunOutcome::NotRun(reason)
        }
        (Some(_), Some(reason)) => RunOutcome::Lost(reason),
        (Some(_), None) => {
            response.headers.remove_internal(&[], hop_header::PREFIX);
            RunOutcome::Answered(response)
        }
        // Every reply of a daemon has a verdict, so another process listens at the address.
        (None, _) => RunOutcome::Lost(RefusalReason::HopLost),
    };
    let is_answered = matches!(outcome, RunOutcome::Answered(_));
    let run = is_answered.then(|| Box::new(RunReport { calls, run_time }));
    GateReply { outcome, load, run }
}

/// Encodes the services that a run calls for a hop's header.
pub(crate) fn encode_calls(calls: &[CalledService]) -> String {
    let encoded = calls.iter().map(|called| {
        let per_mille = |value: f64| (value * 1_000.0).round();
        let (calls, failed) = (
            per_mille(called.calls_per_run),
            per_mille(called.failed_share),
        );
        format!("{}:{calls}:{failed}", called.service)
    });
    encoded.collect::<Vec<_>>().join(",")
}

/// Decodes the services that a run calls; entries that are not valid are skipped.
fn decode_calls(text: &str) -> Vec<CalledService> {
    let decode = |entry: &str| {
        let mut parts = entry.rsplitn(3, ':');
        let mut share = || Some(parts.next()?.parse::<u32>().ok().map(f64::from)? / 1_000.0);
        let (failed_share, calls_per_run) = (share()?, share()?);
        (failed_share <= 1.0).then_some(())?;
        Some(CalledService {
            calls_per_run,
            failed_share,
            service: parts.next()?.into(),
        })
    };
    text.split(',').filter_map(decode).collect()
}

pub(crate) fn encode_load(load: TargetLoad) -> String {
    let numbers = load.to_numbers();
    let texts = numbers.iter().map(ToString::to_string);
    texts.collect::<Vec<_>>().join(",")
}

fn decode_load(text: &str) -> TargetLoad {
    TargetLoad::from_numbers(text.split(',').map(|part| part.parse().unwrap_or_default()))
}
