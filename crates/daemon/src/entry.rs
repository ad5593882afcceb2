use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use medlarspool_calls::{
    Admission, AdmissionRefusal, CallOutcome, CallSettings, ClaimKey, FailedAttempt, Idempotency,
    RetryDecision,
};
use medlarspool_config::Snapshot;
use medlarspool_proto::{CallReply, CallRequest, Refusal, WireHead, WireVerdict};
use medlarspool_types::{ConfigVersion, CustomerId, InstanceId, ServiceName, Verdict};
use tiny_http::Request;
use tokio::runtime::Handle;

use crate::{
    call_decisions::CallDecisions, caller_reply::caller_reply, caller_request,
    control_message::ControlMessage, gate::Gate, hop::Hop, hop_result::HopResult,
    http_reply::HttpReply, peer_pool::PeerPool, refusal_codec::other_upstream_allowed,
    shared_state::SharedState, worker_shares::WorkerShares,
};

/// The interval at which a waiting call checks for an upstream or a newer configuration.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How long a call waits at most for an upstream to be announced or for a newer configuration.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// The retry delay given when no upstream is known or the configuration is too old, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// The retry delay given when no worker is free for the caller, in milliseconds.
const BUSY_RETRY_AFTER_MS: u64 = 1_000;

/// Accepts callers' requests, admits them by the customer's plan, sends each to a gate and retries failed
/// attempts.
pub(crate) struct Entry {
    decisions: Arc<CallDecisions>,
    hop: Hop,
    /// The retry share of a request without a request context, and the limit for one with it; in thousandths
    /// of a retry.
    retry_per_mille: u32,
    runtime: Handle,
    shared: Arc<SharedState>,
    waiting_call_count: AtomicUsize,
    worker_shares: WorkerShares,
}

/// An admitted request of a caller, with what all its attempts share.
struct Call {
    customer: CustomerId,
    deadline: Instant,
    idempotency: Idempotency,
    request: CallRequest,
    service: ServiceName,
}

/// The customer and the limits of an admitted request, by the configuration.
struct AdmittedRoute {
    customer: CustomerId,
    head: WireHead,
    max_body_bytes: u64,
    timeout: Duration,
}

impl Entry {
    pub(crate) fn new(
        shared: &Arc<SharedState>,
        settings: &CallSettings,
        decisions: Arc<CallDecisions>,
        gate: Arc<Gate>,
        peers: Arc<PeerPool>,
        runtime: Handle,
    ) -> Self {
        Self {
            decisions,
            hop: Hop {
                gate,
                peers,
                shared: Arc::clone(shared),
            },
            retry_per_mille: settings.retry_per_mille,
            runtime,
            shared: Arc::clone(shared),
            waiting_call_count: AtomicUsize::new(0),
            worker_shares: WorkerShares::new(shared.settings.worker_threads),
        }
    }

    /// Answers one caller's request and counts the outcome; refuses the request if no worker is free.
    pub(crate) fn handle(&self, mut request: Request) {
        let reply = match self.worker_shares.take_worker() {
            None => all_workers_busy().with_verdict(Verdict::NotRun),
            Some(_worker_guard) => self.answer(&mut request),
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

    /// Admits and executes a request; a customer that already has its share of the workers is refused.
    fn answer(&self, request: &mut Request) -> HttpReply {
        let call = match self.admit(request) {
            Err(reply) => return reply.with_verdict(Verdict::NotRun),
            Ok(call) => call,
        };
        match self.worker_shares.charge_customer(&call.customer) {
            None => all_workers_busy().with_verdict(Verdict::NotRun),
            Some(_customer_guard) => caller_reply(self.execute(call)),
        }
    }

    /// Reads and checks a request and admits it by the customer's plan.
    ///
    /// The call's timeout is the shortest of three: the one configured for the service, the time that the
    /// caller still waits, and the time that remains by the request context.
    fn admit(&self, request: &mut Request) -> Result<Call, HttpReply> {
        let arrived_at = self.shared.clock.now();
        let (service, path) = caller_request::service_and_path(request.url())?;
        let context =
            caller_request::context(request)?.map(|context| self.hop.gate.deduct_run_time(context));
        if context.is_some_and(|context| context.is_too_deep()) {
            return Err(HttpReply::text(508, "the chain of calls is too deep\n"));
        }
        let credential = caller_request::credential(request);
        let version = context.map_or(ConfigVersion::NONE, |context| context.version);
        let route = self.admit_by_plan(&credential, &service, version)?;
        let mut timeout = route.timeout;
        if let Some(max_wait) = caller_request::max_wait(request)? {
            timeout = timeout.min(max_wait);
        }
        if let Some(context) = context {
            timeout = timeout.min(context.remaining);
        }
        let body = caller_request::body(request, route.max_body_bytes)?;
        let retry_per_mille = context.map_or(self.retry_per_mille, |context| {
            context.retry_per_mille.min(self.retry_per_mille)
        });
        let method = request.method().as_str().to_owned();
        let idempotency = Idempotency::of_method(&method);
        let key = caller_request::header(request, "idempotency-key").unwrap_or_default();
        if idempotency == Idempotency::NonIdempotent && !key.is_empty() {
            check_idempotency_key(&route.customer, &service, &key)?;
        }
        Ok(Call {
            customer: route.customer.clone(),
            deadline: arrived_at + timeout,
            idempotency,
            request: CallRequest {
                admission_head: Some(route.head),
                body,
                customer: route.customer.as_str().to_owned(),
                depth: context.map_or(0, |context| context.depth.into()),
                headers: caller_request::headers(request),
                idempotency_key: key,
                method,
                path,
                retry_per_mille,
                service: service.as_str().to_owned(),
                ..CallRequest::default()
            },
            service,
        })
    }

    /// Admits a request by a configuration at least as new as `min_version`. A request that an upstream made
    /// while it ran another names this version in its context; for any other it is [`ConfigVersion::NONE`].
    ///
    /// While the configuration here is older, waits for a newer one for at most [`MAX_WAIT`].
    fn admit_by_plan(
        &self,
        credential: &str,
        service: &ServiceName,
        min_version: ConfigVersion,
    ) -> Result<AdmittedRoute, HttpReply> {
        let wait_until = self.shared.clock.now() + MAX_WAIT;
        loop {
            let snapshot = self.shared.serving_snapshot();
            let snapshot =
                snapshot.ok_or_else(|| HttpReply::text(503, "no configuration is in use yet\n"))?;
            if snapshot.authenticate(credential).is_none() {
                return Err(admission_refused(AdmissionRefusal::UnknownCredential));
            }
            match Admission::at_entry(&snapshot, credential, service, min_version) {
                Admission::Admitted { customer, route } => {
                    return Ok(AdmittedRoute {
                        customer: customer.clone(),
                        head: snapshot.head().into(),
                        max_body_bytes: self
                            .shared
                            .settings
                            .max_body_bytes
                            .min(route.service.max_request_bytes),
                        timeout: route.service.timeout_ms,
                    });
                }
                Admission::Refused(refusal) => return Err(admission_refused(refusal)),
                Admission::FetchFirst(_) => self.wait_for_newer_config(wait_until, &snapshot)?,
            }
        }
    }

    /// Waits for [`POLL_INTERVAL`]. Refuses the call if `wait_until` has passed or too many calls wait
    /// already.
    fn wait_for_newer_config(
        &self,
        wait_until: Instant,
        snapshot: &Snapshot,
    ) -> Result<(), HttpReply> {
        let waiting_before = self.waiting_call_count.fetch_add(1, Ordering::AcqRel);
        let may_wait =
            waiting_before < self.max_waiting_calls() && self.shared.clock.now() < wait_until;
        if may_wait {
            std::thread::sleep(POLL_INTERVAL);
        }
        self.waiting_call_count.fetch_sub(1, Ordering::AcqRel);
        if may_wait {
            return Ok(());
        }
        let text = format!("only version {} is held here\n", snapshot.head().version);
        Err(HttpReply::text(503, &text).with_retry_after(RETRY_AFTER_MS))
    }

    /// Makes attempts until one is answered or the retry policy gives up. Returns the last reply, with the
    /// verdict on the whole call.
    fn execute(&self, mut call: Call) -> CallReply {
        let retry_per_mille = call.request.retry_per_mille;
        call.request.retry_per_mille = self
            .decisions
            .deposit_retry_share(&call.service, retry_per_mille);
        let mut attempted: Vec<InstanceId> = Vec::new();
        let mut may_have_run = false;
        loop {
            let Some((call_id, choice)) = self.choose(&call, &attempted) else {
                return no_upstream(may_have_run);
            };
            let request = CallRequest {
                call_id: call_id.0.to_be_bytes().to_vec(),
                remaining_ms: millis(self.remaining(call.deadline)),
                ..call.request.clone()
            };
            let attempt = self.hop.attempt(
                choice.address,
                request,
                choice.expected_latency,
                call.idempotency,
            );
            let result = self.runtime.block_on(attempt);
            self.decisions
                .record_result(&call.service, &choice.instance, &result);
            if result.outcome == CallOutcome::ConnectFailed {
                let message = ControlMessage::ConnectionRefused(choice.instance.clone());
                self.shared.send_to_control(message);
            }
            may_have_run |= result.reply.typed_verdict() == Verdict::MayHaveRun;
            attempted.push(choice.instance);
            let failed = failed_attempt(
                &call,
                &result,
                choice.expected_latency,
                attempted.len(),
                may_have_run,
            );
            match self.decisions.decide_retry(&call.service, call_id, &failed) {
                RetryDecision::GiveUp { retry_after, .. } => {
                    return final_reply(result.reply, failed.verdict, retry_after);
                }
                RetryDecision::Retry { delay } => std::thread::sleep(delay),
            }
            // Only a call's first attempt carries a retry share to the hops below.
            call.request.retry_per_mille = 0;
        }
    }

    /// Chooses an upstream. If there is none, waits for one to be announced, unless
    /// [`Self::max_waiting_calls`] calls wait already.
    fn choose(
        &self,
        call: &Call,
        attempted: &[InstanceId],
    ) -> Option<(medlarspool_types::CallId, medlarspool_calls::Choice)> {
        let chosen = self.decisions.choose_upstream(&call.service, attempted);
        if chosen.is_some() {
            return chosen;
        }
        let waiting_before = self.waiting_call_count.fetch_add(1, Ordering::AcqRel);
        let chosen = (waiting_before < self.max_waiting_calls())
            .then(|| self.wait_for_upstream(call))
            .flatten();
        self.waiting_call_count.fetch_sub(1, Ordering::AcqRel);
        chosen
    }

    /// Checks for an upstream until one is known, [`MAX_WAIT`] is over or the call's deadline passes.
    fn wait_for_upstream(
        &self,
        call: &Call,
    ) -> Option<(medlarspool_types::CallId, medlarspool_calls::Choice)> {
        let wait_until = call.deadline.min(self.shared.clock.now() + MAX_WAIT);
        while self.shared.clock.now() < wait_until {
            std::thread::sleep(POLL_INTERVAL);
            let chosen = self.decisions.choose_upstream(&call.service, &[]);
            if chosen.is_some() {
                return chosen;
            }
        }
        None
    }

    /// Returns how many calls may wait at once: a quarter of the workers, so that the others can
    /// serve requests.
    fn max_waiting_calls(&self) -> usize {
        self.shared.settings.worker_threads.div_ceil(4)
    }

    fn remaining(&self, deadline: Instant) -> Duration {
        deadline.saturating_duration_since(self.shared.clock.now())
    }
}

fn all_workers_busy() -> HttpReply {
    HttpReply::text(503, "all workers for callers are busy\n").with_retry_after(BUSY_RETRY_AFTER_MS)
}

fn check_idempotency_key(
    customer: &CustomerId,
    service: &ServiceName,
    key: &str,
) -> Result<(), HttpReply> {
    ClaimKey::parse(customer, service, key)
        .map(drop)
        .map_err(|error| HttpReply::text(400, &format!("{error}\n")))
}

/// Describes an attempt to the retry policy. Once any attempt may have run, the whole call may have run.
fn failed_attempt(
    call: &Call,
    result: &HopResult,
    expected_latency: Duration,
    total_attempts: usize,
    may_have_run: bool,
) -> FailedAttempt {
    let verdict = match result.reply.typed_verdict() {
        Verdict::NotRun if may_have_run => Verdict::MayHaveRun,
        verdict => verdict,
    };
    let retry_after_ms = result.reply.retry_after_ms;
    FailedAttempt {
        deadline: call.deadline,
        expected_latency,
        idempotency: call.idempotency,
        other_upstream_allowed: other_upstream_allowed(result.reply.refusal()),
        retry_after: (retry_after_ms > 0).then(|| Duration::from_millis(retry_after_ms)),
        total_attempts: u32::try_from(total_attempts).unwrap_or(u32::MAX),
        verdict,
    }
}

/// Returns the reply for a call that is given up: the last attempt's, with the verdict on the whole call.
fn final_reply(reply: CallReply, verdict: Verdict, retry_after: Duration) -> CallReply {
    if verdict == Verdict::Ran {
        return reply;
    }
    CallReply {
        retry_after_ms: millis(retry_after),
        verdict: WireVerdict::from(verdict).into(),
        ..reply
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn no_upstream(may_have_run: bool) -> CallReply {
    let verdict = if may_have_run {
        Verdict::MayHaveRun
    } else {
        Verdict::NotRun
    };
    CallReply {
        retry_after_ms: RETRY_AFTER_MS,
        ..CallReply::refused(verdict, Refusal::UpstreamMissing)
    }
}

fn admission_refused(refusal: AdmissionRefusal) -> HttpReply {
    match refusal {
        AdmissionRefusal::NotInPlan | AdmissionRefusal::UnknownCustomer => {
            HttpReply::text(403, "the customer's plan does not allow this service\n")
        }
        AdmissionRefusal::UnknownCredential => {
            HttpReply::text(401, "the credential is not a customer's\n")
        }
        AdmissionRefusal::UnknownService => HttpReply::text(404, "no such service\n"),
    }
}
