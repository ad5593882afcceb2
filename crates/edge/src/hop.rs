use std::{
    net::SocketAddr,
    rc::Rc,
    time::{Duration, Instant},
};

use medlarspool_adapter::headers;
use medlarspool_hop::{RefusalReason, hop_header};
use medlarspool_mesh::{Repeat, TargetLoad};
use medlarspool_types::Verdict;
use tokio::time::timeout_at;

use crate::{
    app::App,
    byte_stream::ByteStream,
    exchange::exchange,
    exchange_error::ExchangeError,
    gate::{pass_gate, reply},
    gate_call::GateCall,
    gate_reply::GateReply,
    header_list::HeaderList,
    response::Response,
    run_outcome::RunOutcome,
    silence_limit::SilenceLimit,
};

/// The longest wait for a connection to another daemon: a round trip takes milliseconds, and a lost
/// opening packet comes again only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How long a daemon that has a request may be silent: it tells every [`INTERIM_AFTER`] that it works.
const SILENCE: Duration = Duration::from_millis(350);

/// After how long without an answer a gate tells the entry that it works on the request.
pub(crate) const INTERIM_AFTER: Duration = Duration::from_millis(150);

/// How long after the deadline the gate's word is still awaited.
const ANSWER_GRACE: Duration = Duration::from_millis(90);

/// Hands a request to the daemon beside the chosen target and returns its word.
///
/// A silent hop is given up where `may_leave` says that there is something better to do.
pub(crate) async fn hand_on(
    app: &Rc<App>,
    address: SocketAddr,
    call: GateCall,
    may_leave: &dyn Fn() -> bool,
) -> GateReply {
    if address == app.settings.peer_address {
        return pass_gate(app.clone(), call).await;
    }
    let incarnation = app.core.with(|node, _| {
        let peer = node.directory.peer(address);
        peer.map_or(0, |peer| peer.record().incarnation)
    });
    let kept = app.peer_pool.take(address);
    let was_kept = kept.is_some();
    let stream = match kept {
        Some(stream) => stream,
        None => match connect(app, address, call.deadline).await {
            Ok(stream) => stream,
            Err(end) => return reply(app, end),
        },
    };
    match send(app, address, stream, &call, None, may_leave).await {
        Ok(reply) => reply,
        Err(error) => {
            log::info!(event = "hop-lost", id = call.forwarded.id_text(), peer = address.to_string().as_str(), error = error.to_string().as_str(), kept = was_kept; "");
            if was_kept {
                // Others to the same daemon may have gone silent together.
                app.peer_pool.clear(address);
            }
            settle(app, address, call, error, incarnation).await
        }
    }
}

/// Asks the gate what became of a request whose hop was lost.
async fn settle(
    app: &Rc<App>,
    address: SocketAddr,
    call: GateCall,
    error: ExchangeError,
    incarnation: u64,
) -> GateReply {
    if call.route.repeat == Repeat::Idempotent || call.forwarded.id.is_none() {
        return reply(app, RunOutcome::Lost(RefusalReason::HopLost));
    }
    if error == ExchangeError::RequestBroken {
        return reply(app, RunOutcome::Lost(RefusalReason::TargetFailed));
    }
    while call.deadline > Instant::now() {
        match connect(app, address, call.deadline).await {
            Ok(stream) => {
                let asked = send(app, address, stream, &call, Some(incarnation), &|| true).await;
                if let Ok(settled) = asked {
                    log::info!(event = "hop-settled", id = call.forwarded.id_text(), peer = address.to_string().as_str(); "");
                    return settled;
                }
            }
            // The daemon died, and knows nothing when it is back.
            Err(RunOutcome::NotRun(RefusalReason::NoTarget)) => break,
            Err(_) => {}
        }
    }
    reply(app, RunOutcome::Lost(RefusalReason::HopLost))
}

async fn connect(
    app: &Rc<App>,
    address: SocketAddr,
    deadline: Instant,
) -> Result<ByteStream, RunOutcome> {
    let connected = timeout_at(
        deadline.into(),
        ByteStream::connect(address, CONNECT_TIMEOUT),
    );
    match connected.await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) => {
            log::info!(event = "peer-unreachable", peer = address.to_string().as_str(), error = error.to_string().as_str(); "");
            app.core.with(|node, cx| {
                let now = cx.now();
                node.directory.mark_unreachable(now, address);
            });
            let refused = error.kind() == std::io::ErrorKind::ConnectionRefused;
            Err(RunOutcome::NotRun(if refused {
                RefusalReason::NoTarget
            } else {
                RefusalReason::HopLost
            }))
        }
        Err(_) => Err(RunOutcome::NotRun(RefusalReason::Deadline)),
    }
}

async fn send(
    app: &Rc<App>,
    address: SocketAddr,
    stream: ByteStream,
    call: &GateCall,
    attach_to: Option<u64>,
    may_leave: &dyn Fn() -> bool,
) -> Result<GateReply, ExchangeError> {
    let left = call.deadline.saturating_duration_since(Instant::now());
    let forwarded = &call.forwarded;
    let mut extra = HeaderList::default();
    let mut put = |name: &'static str, value: String| extra.push(name.as_bytes(), value);
    put(headers::DEADLINE_MS, left.as_millis().to_string());
    put(
        hop_header::FINGERPRINT,
        format!("{:x}", forwarded.fingerprint),
    );
    put(
        hop_header::PATIENCE_MS,
        call.patience.as_millis().to_string(),
    );
    put(hop_header::ROUTE, call.route.encode());
    put(hop_header::TARGET, call.target.to_string());
    if call.is_repeat {
        put(hop_header::REPEAT, "1".into());
    }
    if let Some(incarnation) = attach_to {
        put(hop_header::ATTACH, incarnation.to_string());
    }
    let mut rest = match attach_to {
        Some(_) => None,
        None => forwarded.rest.borrow_mut().take(),
    };
    let request = forwarded.outgoing(&extra, rest.as_mut());
    let silence = SilenceLimit {
        ends: may_leave,
        most: SILENCE,
    };
    let ended = timeout_at(
        (call.deadline + ANSWER_GRACE).into(),
        exchange(stream, request, Some(&silence)),
    );
    let Ok(ended) = ended.await else {
        return Ok(reply(app, RunOutcome::Lost(RefusalReason::Deadline)));
    };
    let (answer, back) = ended?;
    if let Some(back) = back {
        app.peer_pool.keep(address, back);
    }
    Ok(read_reply(answer))
}

fn read_reply(mut answer: Response) -> GateReply {
    let load = answer
        .headers
        .text(hop_header::LOAD)
        .map_or_else(TargetLoad::default, decode_load);
    let run = answer
        .headers
        .text(hop_header::RUN_US)
        .and_then(|text| text.parse().ok())
        .map(Duration::from_micros);
    let reason = answer
        .headers
        .text(hop_header::REFUSED)
        .and_then(RefusalReason::parse);
    let verdict = answer.headers.text(hop_header::VERDICT).map(str::to_owned);
    let end = match (verdict.as_deref(), reason) {
        (Some(verdict), Some(reason)) if verdict == Verdict::NotRun.to_string() => {
            RunOutcome::NotRun(reason)
        }
        (Some(_), Some(reason)) => RunOutcome::Lost(reason),
        (Some(_), None) => {
            answer.headers.drop_own(&[], hop_header::PREFIX);
            RunOutcome::Answered(answer)
        }
        // Only a daemon answers with a verdict; this is something else at the address.
        (None, _) => RunOutcome::Lost(RefusalReason::HopLost),
    };
    GateReply { end, load, run }
}

pub(crate) fn encode_load(load: TargetLoad) -> String {
    load.to_numbers().map(|number| number.to_string()).join(",")
}

fn decode_load(text: &str) -> TargetLoad {
    TargetLoad::from_numbers(text.split(',').map(|part| part.parse().unwrap_or_default()))
}
