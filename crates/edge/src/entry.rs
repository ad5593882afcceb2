use std::{cell::RefCell, rc::Rc};

use medlarspool_adapter::headers;
use medlarspool_hop::{RefusalReason, hop_header};
use medlarspool_mesh::{Account, MeshConfig};
use xxhash_rust::xxh3::Xxh3Default;

use crate::{
    app::App,
    caller::Caller,
    entry_call::EntryCall,
    failure::{Failure, RETRY_ELSEWHERE_AFTER, RETRY_UNCONFIRMED_AFTER},
    forwarded_request::{ForwardedRequest, id_text},
    incoming_request::IncomingRequest,
    node_accounts::remove_account_headers,
    reply::Reply,
    server_connection::MAX_BUFFERED_BYTES,
};

/// Serves one request of a client; a planned stop waits until the reply is written.
pub(crate) async fn serve_client(app: Rc<App>, incoming: IncomingRequest) -> Reply {
    let work = app.track_work();
    let reply = answer_client(&app, incoming).await;
    Reply {
        work: Some(work),
        ..reply
    }
}

/// Finds the route of a client's request, sets its deadline and forwards it to a target.
async fn answer_client(app: &Rc<App>, incoming: IncomingRequest) -> Reply {
    let arrived_at = incoming.arrived_at;
    let Some(host) = host(&incoming) else {
        return Reply::status(400);
    };
    let request_target = incoming.head.request_target.clone();
    let path = path(&request_target);
    let requested_timeout = incoming.head.headers.text(headers::DEADLINE_MS);
    let requested_timeout = requested_timeout.and_then(medlarspool_adapter::decode_deadline);
    let requested_deadline = requested_timeout.and_then(|timeout| arrived_at.checked_add(timeout));
    let lookup = app.core.with(|node, _| {
        let config = node.config.clone().ok_or(RefusalReason::NoConfig)?;
        let route = config.route(&host, path).ok_or(RefusalReason::NoRoute)?;
        let origin = node.origin(incoming.client_ip, requested_deadline);
        let caller = node.authenticate(&config, route, origin, &incoming.head.headers)?;
        let route = route.clone();
        let service = node.next_service(&route);
        Ok((config, route, caller, service))
    });
    let id = incoming.head.headers.get(headers::REQUEST_ID).cloned();
    let (config, route, caller, service) = match lookup {
        Ok(found) => found,
        Err(reason) => {
            app.metrics.record_refusal(reason);
            let version = app.core.with(|node, _| node.config_version());
            log::info!(event = "refused", id = id_text(id.as_ref()), reason = reason.as_str(), config_version = version; "");
            let retry_after = match reason {
                RefusalReason::NoConfig => Some(RETRY_ELSEWHERE_AFTER),
                RefusalReason::Unconfirmed => {
                    Some(RETRY_UNCONFIRMED_AFTER.mul_f64(0.5 + fastrand::f64()))
                }
                _ => None,
            };
            let failure = Failure {
                retry_after,
                ..Failure::not_run(reason)
            };
            return failure.reply(id.as_ref());
        }
    };
    let timeout = requested_timeout.map_or(route.timeout, |timeout| timeout.min(route.timeout));
    let deadline = arrived_at + timeout;
    let rank = match &caller {
        Caller::Client(Some(client)) => client.account.rank(route.rank),
        _ if config.account_count() == 0 => route.rank,
        Caller::Client(None) => Account::rank_without_account(route.rank),
        Caller::Target => Account::rank_of_call(route.rank),
    };
    let (account, is_target_call) = match caller {
        Caller::Client(account) => (account, false),
        Caller::Target => (None, true),
    };
    let call = EntryCall {
        account,
        arrived_at,
        deadline,
        forwarded: Rc::new(forwarded_request(app, &config, incoming, &host)),
        is_target_call,
        rank,
        route,
        service,
        // The run that waits for a call fails without it, and its work is lost.
        has_waiting_run: is_target_call && config.account_count() > 0,
    };
    call.answer(app).await
}

/// Returns the value of a request's `Host` header in lower case, or `None` unless there is exactly one.
fn host(incoming: &IncomingRequest) -> Option<Rc<str>> {
    let mut hosts = incoming.head.headers.get_all("host");
    let host = std::str::from_utf8(hosts.next()?).ok()?;
    if hosts.next().is_some() {
        return None;
    }
    Some(host.to_ascii_lowercase().into())
}

/// Returns the path and query of a request target, which may be an absolute URL.
fn path(request_target: &[u8]) -> &str {
    let text = std::str::from_utf8(request_target).unwrap_or_default();
    match text.split_once("://") {
        Some((_, rest)) if !text.starts_with('/') => {
            rest.find('/').map_or("/", |start| &rest[start..])
        }
        _ => text,
    }
}

/// Prepares a client's request for forwarding: removes hop-by-hop and internal headers and the client's key, adds the
/// name of the calling service, and computes the fingerprint.
fn forwarded_request(
    app: &App,
    config: &MeshConfig,
    incoming: IncomingRequest,
    host: &str,
) -> ForwardedRequest {
    let mut headers_sent = incoming.head.headers;
    let id = headers_sent.get(headers::REQUEST_ID).cloned();
    headers_sent.retain_end_to_end();
    headers_sent.remove_internal(
        &[
            headers::CALLER_SERVICE,
            headers::DEADLINE_MS,
            headers::EXPECTED_TARGET,
        ],
        hop_header::PREFIX,
    );
    remove_account_headers(config, &mut headers_sent);
    headers_sent.push(
        headers::CALLER_SERVICE.as_bytes(),
        app.settings.service.as_bytes().to_vec(),
    );
    let mut hasher = Xxh3Default::new();
    // How much more of a long body was read, and whether it comes in chunks, differs each time that the request comes.
    let body_beginning = &incoming.body[..incoming.body.len().min(MAX_BUFFERED_BYTES)];
    let parts: [&[u8]; 5] = [
        &incoming.head.method,
        host.as_bytes(),
        &incoming.head.request_target,
        app.settings.service.as_bytes(),
        body_beginning,
    ];
    for part in parts {
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part);
    }
    ForwardedRequest {
        body: incoming.body,
        fingerprint: hasher.digest(),
        framing: incoming.framing,
        headers: headers_sent,
        id,
        method: String::from_utf8_lossy(&incoming.head.method).into(),
        body_rest: RefCell::new(incoming.body_rest),
        request_target: incoming.head.request_target,
    }
}
