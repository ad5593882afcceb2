use std::{
    io::Read,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use medlarspool_config::{RouteDecision, Snapshot};
use medlarspool_proto::{CallReply, CallRequest, Header, Refusal, WireHead};
use medlarspool_types::{CallId, ServiceName, Verdict};
use tiny_http::Request;
use tokio::runtime::Handle;
use tonic::Code;

use crate::{
    control_message::ControlMessage, gate::Gate, http_reply::HttpReply, peer_pool::PeerPool,
    shared::Shared, upstream_client::is_end_to_end, upstream_record::UpstreamRecord,
};

/// The pause before a request that did not run is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Takes callers' requests, admits them by plan and hands them to a gate.
pub(crate) struct Entry {
    pub(crate) gate: Arc<Gate>,
    pub(crate) peers: PeerPool,
    pub(crate) random: Mutex<fastrand::Rng>,
    pub(crate) runtime: Handle,
    pub(crate) shared: Arc<Shared>,
}

impl Entry {
    /// Answers one caller.
    pub(crate) fn handle(&self, mut request: Request) {
        let reply = match self.admit(&mut request) {
            Ok((call, timeout)) => self.call(call, timeout),
            Err(reply) => reply.with_verdict(Verdict::NotRun),
        };
        let outcome = match reply.status {
            200..400 => "answered",
            400..500 => "refused",
            _ => "failed",
        };
        self.shared
            .metrics
            .calls
            .with_label_values(&[outcome])
            .inc();
        reply.send(request);
    }

    fn admit(&self, request: &mut Request) -> Result<(CallRequest, Duration), HttpReply> {
        let snapshot = self.shared.serving();
        let snapshot =
            snapshot.ok_or_else(|| HttpReply::text(503, "no configuration is in use yet\n"))?;
        let (service, path) = split_path(request.url())?;
        let (customer, timeout) = route(&snapshot, request, &service)?;
        let body = self.read_body(request)?;
        let call = CallRequest {
            admitted_by: Some(WireHead::from(snapshot.head())),
            attempts_left: 0,
            body,
            customer,
            headers: headers(request),
            idempotency_key: header(request, "idempotency-key").unwrap_or_default(),
            method: request.method().as_str().to_owned(),
            path,
            remaining_ms: millis(timeout),
            service: service.as_str().to_owned(),
            ..CallRequest::default()
        };
        Ok((call, timeout))
    }

    fn read_body(&self, request: &mut Request) -> Result<Vec<u8>, HttpReply> {
        let limit = self.shared.settings.max_body_bytes;
        let mut body = Vec::new();
        request
            .as_reader()
            .take(limit + 1)
            .read_to_end(&mut body)
            .map_err(|_| HttpReply::text(400, "the body can't be read\n"))?;
        if body.len() as u64 > limit {
            return Err(HttpReply::text(413, "the body is too large\n"));
        }
        Ok(body)
    }

    fn call(&self, mut call: CallRequest, timeout: Duration) -> HttpReply {
        let deadline = self.shared.clock.now() + timeout;
        loop {
            call.remaining_ms = millis(self.remaining(deadline));
            let reply = self.attempt(&call);
            let again = reply.typed_verdict() == Verdict::NotRun
                && reply.refusal() != Refusal::NotAllowed
                && self.remaining(deadline) > RETRY_PAUSE;
            if !again {
                return http_reply(reply);
            }
            std::thread::sleep(RETRY_PAUSE);
        }
    }

    fn attempt(&self, call: &CallRequest) -> CallReply {
        let Some(upstream) = self.choose(&call.service) else {
            return CallReply::refused(Verdict::NotRun, Refusal::UpstreamMissing);
        };
        let call_id = {
            let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
            CallId::draw(&mut random)
        };
        let call = CallRequest {
            call_id: call_id.0.to_be_bytes().to_vec(),
            gate_incarnation: upstream.gate_incarnation.0,
            ..call.clone()
        };
        if upstream.gate_address == self.shared.settings.peers_address {
            return self.runtime.block_on(self.gate.call(call));
        }
        let timeout = Duration::from_millis(call.remaining_ms);
        let Ok(client) = self.peers.client(upstream.gate_address) else {
            return CallReply::refused(Verdict::NotRun, Refusal::UpstreamMissing);
        };
        self.runtime
            .block_on(client.call(call, timeout))
            .unwrap_or_else(|status| {
                if status.code() == Code::Unavailable {
                    let refused = ControlMessage::ConnectionRefused(upstream.instance);
                    self.shared.tell_control(refused);
                }
                CallReply::refused(Verdict::MayHaveRun, Refusal::UpstreamFailed)
            })
    }

    fn choose(&self, service: &str) -> Option<UpstreamRecord> {
        let service: ServiceName = service.parse().ok()?;
        let directory = self.shared.directory.load();
        if directory.of(&service).is_empty() {
            self.shared
                .tell_control(ControlMessage::Interest(service.clone()));
        }
        let serving: Vec<_> = directory
            .of(&service)
            .iter()
            .filter(|upstream| !upstream.draining)
            .collect();
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        random.choice(serving).cloned()
    }

    fn remaining(&self, deadline: Instant) -> Duration {
        deadline.saturating_duration_since(self.shared.clock.now())
    }
}

fn header(request: &Request, name: &'static str) -> Option<String> {
    request
        .headers()
        .iter()
        .find(|header| header.field.equiv(name))
        .map(|header| header.value.as_str().to_owned())
}

fn headers(request: &Request) -> Vec<Header> {
    request
        .headers()
        .iter()
        .map(|header| Header {
            name: header.field.as_str().as_str().to_ascii_lowercase(),
            value: header.value.as_str().to_owned(),
        })
        .filter(|header| is_end_to_end(&header.name) && header.name != "authorization")
        .collect()
}

fn http_reply(reply: CallReply) -> HttpReply {
    let verdict = reply.typed_verdict();
    let answer = match verdict {
        Verdict::MayHaveRun => HttpReply::text(502, "the request may have run\n"),
        Verdict::NotRun if reply.refusal() == Refusal::NotAllowed => {
            HttpReply::text(403, "the customer's plan does not allow this service\n")
        }
        Verdict::NotRun => HttpReply::text(503, "the request did not run\n").with_header(
            "retry-after",
            &reply.retry_after_ms.div_ceil(1000).max(1).to_string(),
        ),
        Verdict::Ran => HttpReply {
            body: reply.body,
            headers: reply.headers,
            status: u16::try_from(reply.status).unwrap_or(502),
        },
    };
    answer.with_verdict(verdict)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn route(
    snapshot: &Snapshot,
    request: &Request,
    service: &ServiceName,
) -> Result<(String, Duration), HttpReply> {
    let credential = header(request, "authorization").unwrap_or_default();
    let credential = credential.strip_prefix("Bearer ").unwrap_or_default();
    let caller = snapshot
        .authenticate(credential)
        .ok_or_else(|| HttpReply::text(401, "the credential is not a customer's\n"))?;
    match snapshot.route(&caller.customer, service) {
        RouteDecision::Allowed(route) => Ok((
            caller.customer.as_str().to_owned(),
            route.service.timeout_ms,
        )),
        RouteDecision::NotInPlan | RouteDecision::UnknownCustomer => Err(HttpReply::text(
            403,
            "the customer's plan does not allow this service\n",
        )),
        RouteDecision::UnknownService => Err(HttpReply::text(404, "no such service\n")),
    }
}

fn split_path(url: &str) -> Result<(ServiceName, String), HttpReply> {
    let rest = url.strip_prefix('/').unwrap_or(url);
    let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
    let service = service
        .parse()
        .map_err(|error| HttpReply::text(404, &format!("no such service: {error}\n")))?;
    Ok((service, format!("/{path}")))
}
