use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::Sender,
    },
    time::{Duration, Instant},
};

use medlarspool_calls::{
    Admission, CallSettings, ChannelId, Fate, FateQuestion, Fingerprint, GateWork, Idempotency,
    QuarantineNotice, QuestionKind, RefusalReason, RequestContext, RunOutcome, Slot,
};
use medlarspool_proto::{CallReply, CallRequest, LoadReport, Refusal, WireHead, WireVerdict};
use medlarspool_spread::SpreadEvent;
use medlarspool_types::{CallId, ConfigHead, ConfigVersion, CustomerId, ServiceName, Verdict};

use crate::{
    Announcement,
    claim_job::ClaimJob,
    claim_outcome::ClaimOutcome,
    claims::Claims,
    control_message::ControlMessage,
    crash_guard::CrashGuard,
    fate_codec::{call_id, channel_id},
    gate_queue::{GateQueue, PendingCall},
    peer_pool::PeerPool,
    queue_decision::QueueDecision,
    refusal_codec::wire_refusal,
    shared_state::SharedState,
    upstream_client::UpstreamClient,
    upstream_outcome::UpstreamOutcome,
};

/// The retry delay of refusals that carry none of their own.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// How long a gate waits at most for a configuration as new as the entry's.
const MAX_CONFIGURATION_WAIT: Duration = Duration::from_secs(1);

/// The interval at which a gate checks for that configuration.
const CONFIGURATION_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The interval at which a call that arrived twice checks the fate of its first arrival.
const REPEATED_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Queues requests for the upstream beside this daemon and limits how many run at once.
///
/// It is the only path to that upstream, so that its verdict "not run" is certain.
pub(crate) struct Gate {
    arrival_count: AtomicU64,
    claims: Arc<Claims>,
    client: UpstreamClient,
    crash_guard: CrashGuard,
    queue: Arc<GateQueue>,
    shared: Arc<SharedState>,
}

/// A request that was admitted by the customer's plan, with what its run needs.
struct Admitted {
    announcement: Announcement,
    call: CallId,
    deadline: Instant,
    request: CallRequest,
    service: ServiceName,
    work: GateWork,
}

/// A run's reply, and the notice that the service's other gates must get before the reply is returned.
struct RunResult {
    notice: Option<QuarantineNotice>,
    reply: CallReply,
}

impl RunResult {
    fn without_notice(reply: CallReply) -> Self {
        Self {
            notice: None,
            reply,
        }
    }
}

impl Admitted {
    fn fingerprint(&self) -> Fingerprint {
        let request = &self.request;
        Fingerprint::of(
            &self.work.customer,
            &self.service,
            &request.method,
            &request.path,
            &request.body,
        )
    }

    /// Returns whether the request may run only after its idempotency key was claimed.
    fn needs_claim(&self) -> bool {
        let idempotency = Idempotency::of_method(&self.request.method);
        !self.request.idempotency_key.is_empty() && idempotency == Idempotency::NonIdempotent
    }
}

impl Gate {
    pub(crate) fn new(
        shared: Arc<SharedState>,
        settings: &CallSettings,
        peers: Arc<PeerPool>,
        jobs: Sender<ClaimJob>,
    ) -> Arc<Self> {
        let clock = Arc::clone(&shared.clock);
        let queue = GateQueue::new(settings, shared.incarnation, clock);
        let claims = Claims {
            jobs,
            peers: Arc::clone(&peers),
            queue: Arc::clone(&queue),
            settings: settings.clone(),
            shared: Arc::clone(&shared),
        };
        Arc::new(Self {
            arrival_count: AtomicU64::new(0),
            claims: Arc::new(claims),
            client: UpstreamClient::new(shared.settings.max_body_bytes),
            crash_guard: CrashGuard::new(Arc::clone(&shared), settings, peers),
            queue,
            shared,
        })
    }

    /// Returns the guard against requests that crash upstreams.
    pub(crate) const fn crash_guard(&self) -> &CrashGuard {
        &self.crash_guard
    }

    /// Returns the queue, which also answers questions about fates and opens channels.
    pub(crate) const fn queue(&self) -> &Arc<GateQueue> {
        &self.queue
    }

    /// Runs a peer's request or refuses it. The run blocks a thread of its own, not one that serves peers.
    pub(crate) async fn call(self: &Arc<Self>, request: CallRequest) -> CallReply {
        let reply = match self.admit(request).await {
            Ok(admitted) => self.queue_and_run(admitted).await,
            Err(refusal) => refused(refusal),
        };
        self.with_head_and_load(reply)
    }

    /// Runs a request of this daemon's own entry or refuses it. The run blocks the entry's worker thread.
    pub(crate) async fn call_local(self: &Arc<Self>, mut request: CallRequest) -> CallReply {
        let channel = self.queue.open_channel();
        request.channel = Some(crate::fate_codec::wire_channel(channel));
        let reply = match self.admit(request).await {
            Ok(admitted) => match self.wait_for_slot(&admitted).await {
                Ok(slot) => {
                    let result = self.run(&admitted, slot);
                    self.reply_after_notice(result, &admitted.service).await
                }
                Err(reply) => reply,
            },
            Err(refusal) => refused(refusal),
        };
        self.queue.close_channel(channel);
        self.with_head_and_load(reply)
    }

    /// Returns how many calls have arrived since the start; a stopping daemon waits until this no longer
    /// grows.
    pub(crate) fn arrival_count(&self) -> u64 {
        self.arrival_count.load(Ordering::Relaxed)
    }

    /// Checks a request against the drain, the customer's plan and the local upstream, without queueing it.
    ///
    /// If the entry used a newer configuration than this daemon has, the head of that configuration is sent
    /// to the control thread, so that the spreading core has it fetched.
    async fn admit(&self, request: CallRequest) -> Result<Admitted, Refusal> {
        self.arrival_count.fetch_add(1, Ordering::Relaxed);
        let now = self.shared.clock.now();
        let deadline = now + Duration::from_millis(request.remaining_ms);
        if self.shared.is_draining() {
            return Err(Refusal::Draining);
        }
        let customer: CustomerId = request.customer.parse().map_err(|_| Refusal::NotAllowed)?;
        let service: ServiceName = request.service.parse().map_err(|_| Refusal::NotAllowed)?;
        let admitted_by = request
            .admission_head
            .map_or_else(ConfigHead::default, Into::into);
        if self.shared.config_head().version < admitted_by.version {
            let event = SpreadEvent::HeadFromCall(admitted_by);
            self.shared.send_to_control(ControlMessage::Spread(event));
        }
        let weight = self
            .admit_by_plan(&customer, &service, admitted_by.version, deadline)
            .await?;
        let announcement = self.local_upstream(&service)?;
        let call = call_id(&request.call_id);
        let work = GateWork {
            call,
            customer,
            deadline,
            weight,
        };
        Ok(Admitted {
            announcement,
            call,
            deadline,
            request,
            service,
            work,
        })
    }

    /// Returns the customer's weight in the queue, by a configuration at least as new as the entry's. Waits
    /// for that configuration if this daemon's is older.
    async fn admit_by_plan(
        &self,
        customer: &CustomerId,
        service: &ServiceName,
        min_version: ConfigVersion,
        deadline: Instant,
    ) -> Result<u32, Refusal> {
        let wait_until = deadline.min(self.shared.clock.now() + MAX_CONFIGURATION_WAIT);
        loop {
            if let Some(decided) = self.decide_by_plan(customer, service, min_version) {
                return decided;
            }
            if self.shared.clock.now() >= wait_until {
                return Err(Refusal::NoConfiguration);
            }
            tokio::time::sleep(CONFIGURATION_POLL_INTERVAL).await;
        }
    }

    /// Returns the customer's weight or a refusal; `None` while no configuration as new as `min_version` is
    /// in use.
    fn decide_by_plan(
        &self,
        customer: &CustomerId,
        service: &ServiceName,
        min_version: ConfigVersion,
    ) -> Option<Result<u32, Refusal>> {
        let snapshot = self.shared.serving_snapshot()?;
        match Admission::at_gate(&snapshot, customer, service, min_version) {
            Admission::Admitted { route, .. } => Some(Ok(route.weight)),
            Admission::FetchFirst(_) => None,
            Admission::Refused(_) => Some(Err(Refusal::NotAllowed)),
        }
    }

    /// Returns the announcement of the upstream beside this daemon and sets the queue's slots by it. Refuses
    /// the request if the upstream does not serve the service or is draining.
    fn local_upstream(&self, service: &ServiceName) -> Result<Announcement, Refusal> {
        let announcement = self
            .shared
            .local_upstream
            .current(self.shared.clock.now())
            .filter(|announcement| announcement.service == *service)
            .ok_or(Refusal::UpstreamMissing)?;
        if announcement.draining {
            return Err(Refusal::Draining);
        }
        self.queue.set_slots(announcement.slots);
        Ok(announcement)
    }

    /// Waits for a slot and runs the request on a blocking thread.
    async fn queue_and_run(self: &Arc<Self>, admitted: Admitted) -> CallReply {
        let slot = match self.wait_for_slot(&admitted).await {
            Ok(slot) => slot,
            Err(reply) => return reply,
        };
        let gate = Arc::clone(self);
        let service = admitted.service.clone();
        let run = tokio::task::spawn_blocking(move || gate.run(&admitted, slot));
        match run.await {
            Ok(result) => self.reply_after_notice(result, &service).await,
            Err(_) => may_have_run(),
        }
    }

    /// Publishes a run's notice, if there is one, and then returns the run's reply.
    async fn reply_after_notice(&self, result: RunResult, service: &ServiceName) -> CallReply {
        if let Some(notice) = &result.notice {
            self.crash_guard.publish(notice, service).await;
        }
        result.reply
    }

    /// Queues a request and returns its slot, or the reply if it gets none. A request that needs a claim is
    /// queued once its idempotency key is claimed.
    async fn wait_for_slot(&self, admitted: &Admitted) -> Result<Slot<Arc<CallReply>>, CallReply> {
        let channel = channel_id(admitted.request.channel);
        if admitted.needs_claim() {
            return self.claim_and_wait(admitted, channel).await;
        }
        let pending = self.queue.offer(admitted.work.clone(), channel);
        self.wait_for_decision(admitted, pending).await
    }

    /// Holds a request with an idempotency key until the key is claimed, and fences it if that fails.
    async fn claim_and_wait(
        &self,
        admitted: &Admitted,
        channel: ChannelId,
    ) -> Result<Slot<Arc<CallReply>>, CallReply> {
        let mut pending = self.queue.hold(&admitted.work, channel);
        if let Some(decision) = pending.try_decision() {
            return self.resolve_decision(admitted, decision).await;
        }
        let (call, customer) = (admitted.call, &admitted.work.customer);
        let claim = self
            .claims
            .claim(call, customer, &admitted.service, &admitted.request);
        let max_wait = self.remaining(admitted.deadline);
        let timed_out = ClaimOutcome::Refused(RefusalReason::DeadlineUnmeetable);
        match tokio::time::timeout(max_wait, claim)
            .await
            .unwrap_or(timed_out)
        {
            ClaimOutcome::Claimed(policy) => {
                self.queue.offer_held(admitted.work.clone());
                let slot = self.wait_for_decision(admitted, pending).await;
                if slot.is_err() {
                    let claims = Arc::clone(&self.claims);
                    tokio::spawn(async move { claims.release(policy).await });
                }
                slot
            }
            ClaimOutcome::Earlier(fate) => {
                // Dropping the pending call fences this attempt.
                drop(pending);
                Err(reply_from_fate(fate))
            }
            ClaimOutcome::Refused(reason) => {
                self.queue.refuse_held(call, reason);
                self.wait_for_decision(admitted, pending).await
            }
        }
    }

    /// Waits for the queue's decision until the deadline, and returns the slot or the reply.
    async fn wait_for_decision(
        &self,
        admitted: &Admitted,
        mut pending: PendingCall,
    ) -> Result<Slot<Arc<CallReply>>, CallReply> {
        let decision = match pending.try_decision() {
            Some(decision) => decision,
            None => pending.decision(self.remaining(admitted.deadline)).await,
        };
        self.resolve_decision(admitted, decision).await
    }

    /// Returns the slot of a request that may run, or the reply to one that is refused or repeated.
    async fn resolve_decision(
        &self,
        admitted: &Admitted,
        decision: QueueDecision,
    ) -> Result<Slot<Arc<CallReply>>, CallReply> {
        match decision {
            QueueDecision::Refused(refusal) => Err(CallReply {
                retry_after_ms: millis(refusal.retry_after),
                ..refused(wire_refusal(refusal.reason))
            }),
            QueueDecision::Repeated => Err(self.answer_repeated(admitted).await),
            QueueDecision::Start(slot) => Ok(slot),
        }
    }

    /// Waits for the fate of a repeated call's first arrival, until the deadline, and returns it as the
    /// reply.
    async fn answer_repeated(&self, admitted: &Admitted) -> CallReply {
        let question = FateQuestion {
            call: admitted.call,
            channel: channel_id(admitted.request.channel),
            kind: QuestionKind::Inquire,
        };
        loop {
            match self.queue.ask(&question).fate {
                Fate::NotRun => return refused(Refusal::Fenced),
                Fate::Ran(answer) => return Arc::unwrap_or_clone(answer),
                Fate::Underway if !self.remaining(admitted.deadline).is_zero() => {
                    tokio::time::sleep(REPEATED_POLL_INTERVAL).await;
                }
                _ => return may_have_run(),
            }
        }
    }

    /// Sends a request to the upstream and waits for the whole answer, unless the crash guard refuses the
    /// request. Reports the outcome to the queue through the slot.
    fn run(&self, admitted: &Admitted, slot: Slot<Arc<CallReply>>) -> RunResult {
        let fingerprint = admitted.fingerprint();
        let running_request = match self.crash_guard.begin(fingerprint, &admitted.service) {
            Ok(running_request) => running_request,
            Err(reply) => {
                slot.finish(RunOutcome::NotSent);
                return RunResult::without_notice(*reply);
            }
        };
        let remaining = self.remaining(admitted.deadline);
        let context = RequestContext {
            depth: u8::try_from(admitted.request.depth).unwrap_or(u8::MAX),
            parent: None,
            remaining,
            retry_per_mille: admitted.request.retry_per_mille,
            version: self.shared.config_head().version,
        };
        let context = context.next_hop(admitted.call, Duration::ZERO);
        let address = admitted.announcement.address;
        match self.client.run(address, &admitted.request, &context) {
            UpstreamOutcome::Answered(reply) => {
                let answer_bytes = reply.body.len();
                let answer = Arc::new(reply.clone());
                slot.finish(RunOutcome::Answered {
                    answer,
                    answer_bytes,
                });
                RunResult {
                    notice: self.crash_guard.end(running_request, true),
                    reply,
                }
            }
            UpstreamOutcome::Lost => {
                slot.finish(RunOutcome::Lost);
                RunResult {
                    notice: self.crash_guard.connection_lost(running_request, address),
                    reply: may_have_run(),
                }
            }
            UpstreamOutcome::NotSent => {
                self.shared.send_to_control(ControlMessage::UpstreamRefused);
                slot.finish(RunOutcome::NotSent);
                RunResult {
                    notice: self.crash_guard.end(running_request, false),
                    reply: refused(Refusal::UpstreamDown),
                }
            }
        }
    }

    /// Adds the head of the configuration in use and the gate's load, which entries read from every reply. A
    /// reply with the verdict "not run" gets [`RETRY_AFTER`] if it has no retry delay.
    fn with_head_and_load(&self, mut reply: CallReply) -> CallReply {
        reply.config_head = Some(WireHead::from(self.shared.config_head()));
        reply.load = Some(wire_load(self.queue.load()));
        if reply.typed_verdict() == Verdict::NotRun && reply.retry_after_ms == 0 {
            reply.retry_after_ms = millis(RETRY_AFTER);
        }
        reply
    }

    fn remaining(&self, deadline: Instant) -> Duration {
        deadline.saturating_duration_since(self.shared.clock.now())
    }

    /// Returns the context of a call made during a run here, with the run's time so far deducted from what
    /// remains of the deadline.
    pub(crate) fn deduct_run_time(&self, context: RequestContext) -> RequestContext {
        let run_time = context
            .parent
            .and_then(|parent| self.queue.running_for(parent))
            .unwrap_or_default();
        RequestContext {
            remaining: context.remaining.saturating_sub(run_time),
            ..context
        }
    }

    /// Opens a channel for a new connection from an entry.
    pub(crate) fn open_channel(&self) -> ChannelId {
        self.queue.open_channel()
    }
}

/// Returns the reply for an attempt whose key an earlier attempt holds, by the earlier one's fate.
fn reply_from_fate(fate: Fate<Arc<CallReply>>) -> CallReply {
    match fate {
        Fate::AnswerGone => ran_without_answer(),
        Fate::Ran(answer) => Arc::unwrap_or_clone(answer),
        Fate::MayHaveRun | Fate::NeverSeen | Fate::NotRun | Fate::Underway => may_have_run(),
    }
}

fn may_have_run() -> CallReply {
    CallReply::refused(Verdict::MayHaveRun, Refusal::UpstreamFailed)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the reply for a call that ran and whose answer is no longer stored.
pub(crate) fn ran_without_answer() -> CallReply {
    CallReply {
        verdict: WireVerdict::Ran.into(),
        ..CallReply::default()
    }
}

fn refused(refusal: Refusal) -> CallReply {
    CallReply::refused(Verdict::NotRun, refusal)
}

fn wire_load(load: medlarspool_calls::LoadReport) -> LoadReport {
    LoadReport {
        queued: load.queued,
        service_time_us: u64::try_from(load.mean_run_time.as_micros()).unwrap_or(u64::MAX),
        slots: load.slots,
        slots_in_use: load.slots_in_use,
    }
}
