use std::{
    net::SocketAddr,
    pin::{Pin, pin},
    rc::Rc,
    time::{Duration, Instant},
};

use medlarspool_adapter::headers;
use medlarspool_hop::{RefusalReason, hop_header};
use medlarspool_mesh::{CalledService, RetrySafety, TargetLimit, TargetLoad};
use medlarspool_types::Verdict;
use tokio::{sync::Notify, time::timeout_at};

use crate::{
    app::App, byte_stream::ByteStream, exchange::exchange, exchange_error::ExchangeError,
    gate::admit_and_run, gate_call::GateCall, gate_reply::GateReply, header_list::HeaderList,
    message_head::ResponseHead, response::Response, run_outcome::RunOutcome, run_report::RunReport,
    silence_limit::SilenceLimit, units::micros,
};

/// The longest wait for a connection to another daemon. A round trip takes milliseconds, and a lost SYN
/// packet is sent again only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The longest wait for a connection over which a gate is asked for an outcome. Nobody else knows it, so this is longer
/// than it takes to send a lost SYN packet again, or a packet through a congested link.
const QUESTION_CONNECT_TIMEOUT: Duration = Duration::from_millis(1_200);

/// How often a gate is asked for the outcome of a request, if the connections are lost.
const MAX_QUESTIONS: usize = 8;

/// After how long a lost TCP segment is sent again for the first time.
const RETRANSMISSION_TIMEOUT: Duration = Duration::from_millis(200);

/// How late an interim response may be besides: a round trip between availability zones, and the delays of a busy
/// entry and a busy gate.
const INTERIM_DELAY_MARGIN: Duration = Duration::from_millis(80);

/// After how long without a final response a gate sends an interim response to the entry.
pub(crate) const INTERIM_AFTER: Duration = Duration::from_millis(120);

/// How long a gate may be silent before it is asked for the outcome of an at-most-once request, or another copy of an
/// idempotent one is sent. One lost segment may delay an interim response, and so does a congested link, by any time.
const MAX_SILENCE: Duration = INTERIM_AFTER
    .saturating_add(RETRANSMISSION_TIMEOUT)
    .saturating_add(INTERIM_DELAY_MARGIN);

/// How long after the deadline the gate's reply is still awaited: longer than the gate awaits the response of
/// its target.
const REPLY_GRACE: Duration = Duration::from_millis(90);

/// Forwards a request to the gate of the chosen target and returns the gate's reply.
///
/// A silent gate may still run the request, so its connection stays open. Over another one, it is asked for the outcome
/// of an at-most-once request. `on_silence` is called with `true` after each [`MAX_SILENCE`] without a byte, and with
/// `false` when the gate sends again.
pub(crate) async fn forward_to_gate(
    app: &Rc<App>,
    address: SocketAddr,
    call: GateCall,
    on_silence: &dyn Fn(bool),
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
        None => match connect(app, address, call.deadline, CONNECT_TIMEOUT).await {
            Ok(stream) => stream,
            Err(outcome) => return GateReply::without_gate(outcome),
        },
    };
    let became_silent = Notify::new();
    let observe_silence = |is_silent| {
        on_silence(is_silent);
        if is_silent {
            became_silent.notify_one();
        }
    };
    let sending = async {
        let sent = send(app, address, stream, &call, None, &observe_silence).await;
        if let Err(error) = &sent {
            log::info!(event = "hop-lost", id = call.forwarded.id_text(), peer = address.to_string().as_str(), error = error.to_string().as_str(), kept = was_pooled; "");
            if was_pooled {
                // Other pooled connections to the same daemon are probably lost too.
                app.peer_pool.clear(address);
            }
        }
        sent
    };
    let mut sending = pin!(sending);
    let can_ask = call.route.retry_safety == RetrySafety::AtMostOnce && call.forwarded.id.is_some();
    let sent = tokio::select! {
        biased;
        sent = &mut sending => Some(sent),
        () = became_silent.notified(), if can_ask => None,
    };
    let question = ask_for_outcome(app, address, &call, incarnation);
    match sent {
        Some(Ok(reply)) => reply,
        Some(Err(ExchangeError::RequestBodyAborted)) if can_ask => {
            GateReply::without_gate(RunOutcome::Lost(RefusalReason::TargetFailed))
        }
        Some(Err(_)) if can_ask => question.await,
        Some(Err(_)) => GateReply::without_gate(RunOutcome::Lost(RefusalReason::HopLost)),
        None => first_outcome(sending, question).await,
    }
}

/// Returns the first outcome that a gate tells, as a reply to the request itself or to the question for its outcome.
async fn first_outcome(
    mut sending: Pin<&mut impl Future<Output = Result<GateReply, ExchangeError>>>,
    question: impl Future<Output = GateReply>,
) -> GateReply {
    let mut question = pin!(question);
    tokio::select! {
        biased;
        sent = &mut sending => match sent {
            Ok(reply) if reply.has_outcome() => reply,
            // The gate may have given the outcome as an answer to the question.
            Ok(_) | Err(_) => question.await,
        },
        reply = &mut question => {
            if reply.has_outcome() {
                reply
            } else {
                sending.await.unwrap_or(reply)
            }
        }
    }
}

/// Asks a gate for the outcome of an at-most-once request, until the deadline.
async fn ask_for_outcome(
    app: &Rc<App>,
    address: SocketAddr,
    call: &GateCall,
    incarnation: u64,
) -> GateReply {
    for _ in 0..MAX_QUESTIONS {
        match connect(app, address, call.deadline, QUESTION_CONNECT_TIMEOUT).await {
            Ok(stream) => {
                let answer = send(app, address, stream, call, Some(incarnation), &|_| ()).await;
                if let Ok(reply) = answer {
                    log::info!(event = "hop-settled", id = call.forwarded.id_text(), peer = address.to_string().as_str(); "");
                    return reply;
                }
            }
            // The daemon is down; it will know nothing of the request after a restart.
            Err(RunOutcome::NotRun(RefusalReason::NoTarget | RefusalReason::Deadline)) => break,
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
    connect_timeout: Duration,
) -> Result<ByteStream, RunOutcome> {
    let connecting = timeout_at(
        deadline.into(),
        ByteStream::connect(address, connect_timeout),
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
    on_silence: &dyn Fn(bool),
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
    let sent_at = Instant::now();
    let end_silence = |head: &ResponseHead, silence: Duration| {
        on_silence(false);
        let age = head.headers.text(hop_header::AGE_MS);
        let age = age.and_then(|text| text.parse().ok().map(Duration::from_millis));
        // What the gate doesn't account for passed on the way.
        let delay_us = age.map(|age| micros(sent_at.elapsed().saturating_sub(age)));
        log::info!(event = "hop-heard", id = forwarded.id_text(), peer = address.to_string().as_str(), status = head.status, silent_us = micros(silence), delay_us = delay_us; "");
    };
    let silence = SilenceLimit {
        max_silence: MAX_SILENCE,
        on_end: &end_silence,
        on_silence: &|| on_silence(true),
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
