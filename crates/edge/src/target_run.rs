use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use medlarspool_adapter::headers;
use medlarspool_hop::RefusalReason;
use tokio::time::timeout_at;

use crate::{
    app::App, byte_stream::ByteStream, exchange::exchange, exchange_error::ExchangeError,
    gate_call::GateCall, header_list::HeaderList, node::Node, outgoing_request::OutgoingRequest,
    run_outcome::RunOutcome, target_headers::read_target_headers,
};

/// The longest wait for a connection to the target, which is on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long after the deadline the own target's response is still awaited.
const RESPONSE_GRACE: Duration = Duration::from_millis(60);

/// Sends a request to the own target and returns its outcome.
pub(crate) async fn run_at_target(app: &Rc<App>, call: &GateCall) -> RunOutcome {
    let address = app.settings.target_address;
    let forwarded = &call.forwarded;
    // A response can't be told from a second copy of an earlier one unless the request has an id, and another one than
    // the request before it. Clients choose the ids. Other requests therefore get a connection of their own.
    let id = forwarded.id.as_ref();
    let pooled = id.and_then(|_| app.target_pool.take(address));
    let pooled = pooled.filter(|stream| stream.latest_id.as_ref() != id);
    let stream = match pooled {
        Some(stream) => stream,
        None => match connect(app, call).await {
            Ok(stream) => stream,
            Err(reason) => return RunOutcome::NotRun(reason),
        },
    };
    // The check before the wait for a slot counts for nothing: the key may have been removed since, or the process
    // may have been paused.
    let account_name = match check_account(app, call) {
        Ok(name) => name,
        Err(reason) => {
            app.target_pool.put(address, stream);
            return RunOutcome::NotRun(reason);
        }
    };
    app.metrics.target_requests.inc();
    let sent_at = Instant::now();
    let remaining = call.deadline.saturating_duration_since(Instant::now());
    let mut extra = HeaderList::default();
    extra.push(
        headers::EXPECTED_TARGET.as_bytes(),
        call.target_id.as_bytes().to_vec(),
    );
    extra.push(
        headers::DEADLINE_MS.as_bytes(),
        remaining.as_millis().to_string(),
    );
    if let Some(name) = account_name {
        extra.push(headers::ACCOUNT.as_bytes(), name.as_bytes().to_vec());
    }
    let mut body_rest = forwarded.body_rest.borrow_mut().take();
    let request = OutgoingRequest {
        expected_id: forwarded.id.as_deref(),
        ..forwarded.outgoing(&extra, body_rest.as_mut())
    };
    let bounded_exchange = timeout_at(
        (call.deadline + RESPONSE_GRACE).into(),
        exchange(stream, request, None, app.active_buffers()),
    );
    match bounded_exchange.await {
        Err(_) => RunOutcome::Lost(RefusalReason::Deadline),
        Ok(Ok((mut response, reusable))) => {
            response.set_deadline(call.deadline + RESPONSE_GRACE);
            if let (Some(mut reusable), Some(id)) = (reusable, id) {
                // A slice would keep the memory of the whole request.
                reusable.latest_id = Some(Bytes::copy_from_slice(id));
                app.target_pool.put(address, reusable);
            }
            // A target answers 421 (Misdirected Request) to a request that expects another target.
            let is_misdirected = response.status == 421;
            if !is_misdirected {
                read_target_headers(app, &call.target_id, sent_at, &response.headers);
            }
            let not_run = response.headers.get(headers::NOT_RUN).is_some() || is_misdirected;
            if not_run {
                RunOutcome::NotRun(RefusalReason::TargetRefused)
            } else {
                RunOutcome::Answered(response)
            }
        }
        Ok(Err(error)) => {
            log::info!(event = "run-lost", id = forwarded.id_text(), error = error.to_string().as_str(); "");
            match error {
                ExchangeError::ConnectionLost => {
                    record_if_crashed(app).await;
                    RunOutcome::Lost(RefusalReason::TargetFailed)
                }
                ExchangeError::RequestBodyAborted => RunOutcome::Lost(RefusalReason::HopLost),
                _ => RunOutcome::Lost(RefusalReason::TargetFailed),
            }
        }
    }
}

/// Checks that the configuration still permits the request; logs a refusal.
fn check_account(app: &Rc<App>, call: &GateCall) -> Result<Option<Rc<str>>, RefusalReason> {
    let Some(account) = &call.account else {
        return Ok(None);
    };
    let checked = app.core.with(|node, _| node.check_account(account));
    let checked = checked.map(Some);
    if let Err(reason) = checked {
        log::info!(event = "gate-refused", id = call.forwarded.id_text(), reason = reason.as_str(), wait_us = 0; "");
    }
    checked
}

/// Opens a connection to the target; marks the target as down if nothing listens there.
async fn connect(app: &Rc<App>, call: &GateCall) -> Result<ByteStream, RefusalReason> {
    app.metrics.target_connections.inc();
    let connecting = ByteStream::connect(app.settings.target_address, CONNECT_TIMEOUT);
    match timeout_at(call.deadline.into(), connecting).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error)) => {
            log::info!(event = "target-unreachable", error = error.to_string().as_str(); "");
            app.core.with(|node, cx| {
                if error.kind() == std::io::ErrorKind::ConnectionRefused
                    && node.own_target.mark_down()
                {
                    node.apply_target_change(cx);
                }
            });
            Err(RefusalReason::Moved)
        }
        Err(_) => Err(RefusalReason::Deadline),
    }
}

/// Records a crash after a lost connection if no new connection to the target can be opened: nothing listens
/// at the address of a target that crashed.
async fn record_if_crashed(app: &Rc<App>) {
    let address = app.settings.target_address;
    if let Ok(stream) = ByteStream::connect(address, CONNECT_TIMEOUT).await {
        app.target_pool.put(address, stream);
        return;
    }
    app.target_pool.clear(address);
    app.core.with(Node::record_crash);
}
