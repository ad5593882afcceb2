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
    claim_end::ClaimEnd,
    claim_job::ClaimJob,
    claims::Claims,
    control_message::ControlMessage,
    crash_guard::CrashGuard,
    fate_codec::{call_id, channel_id},
    gate_queue::{GateQueue, Place},
    peer_pool::PeerPool,
    refusal_codec::wire_refusal,
    shared::Shared,
    turn::Turn,
    upstream_client::UpstreamClient,
    upstream_end::UpstreamEnd,
};

/// When a caller refused for another reason than load is told to come back.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// The longest that a gate waits for a configuration as new as the entry's.
const CONFIGURATION_WAIT: Duration = Duration::from_secs(1);

/// How often a gate looks for that configuration.
const CONFIGURATION_CHECK: Duration = Duration::from_millis(10);

/// How often a repeated call's first arrival is asked after.
const REPEATED_CHECK: Duration = Duration::from_millis(10);

/// The only way to the upstream beside this daemon, so that its "not run" is a fact.
pub(crate) struct Gate {
    arrivals: AtomicU64,
    claims: Arc<Claims>,
    client: UpstreamClient,
    crashes: CrashGuard,
    queue: Arc<GateQueue>,
    shared: Arc<Shared>,
}

/// A request that was admitted, with what its run needs.
struct Admitted {
    announcement: Announcement,
    call: CallId,
    deadline: Instant,
    request: CallRequest,
    service: ServiceName,
    work: GateWork,
}

/// A run's reply, and what the service's other gates must know before it is given.
struct RunEnded {
    notice: Option<QuarantineNotice>,
    reply: CallReply,
}

impl RunEnded {
    fn quiet(reply: CallReply) -> Self {
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

    fn needs_claim(&self) -> bool {
        let idempotency = Idempotency::of_method(&self.request.method);
        !self.request.idempotency_key.is_empty() && idempotency == Idempotency::NonIdempotent
    }
}

impl Gate {
    pub(crate) fn new(
        shared: Arc<Shared>,
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
            arrivals: AtomicU64::new(0),
            claims: Arc::new(claims),
            client: UpstreamClient::new(shared.settings.max_body_bytes),
            crashes: CrashGuard::new(Arc::clone(&shared), settings, peers),
            queue,
            shared,
        })
    }

    /// What is known of requests that crash upstreams.
    pub(crate) const fn crashes(&self) -> &CrashGuard {
        &self.crashes
    }

    /// The decisions, for questions after fates and for channels.
    pub(crate) const fn queue(&self) -> &Arc<GateQueue> {
        &self.queue
    }

    /// Runs a peer's request or refuses it; the caller's thread is never blocked.
    pub(crate) async fn call(self: &Arc<Self>, request: CallRequest) -> CallReply {
        let reply = match self.admit(request).await {
            Ok(admitted) => self.queue_and_run(admitted).await,
            Err(refusal) => refused(refusal),
        };
        self.complete(reply)
    }

    /// Runs a request of this daemon's own entry; a run blocks the entry's worker thread.
    pub(crate) async fn call_here(self: &Arc<Self>, mut request: CallRequest) -> CallReply {
        let channel = self.queue.open_channel();
        request.channel = Some(crate::fate_codec::wire_channel(channel));
        let reply = match self.admit(request).await {
            Ok(admitted) => match self.wait_for_turn(&admitted).await {
                Ok(slot) => {
                    let ended = self.run(&admitted, slot);
                    self.published(ended, &admitted.service).await
                }
                Err(reply) => reply,
            },
            Err(refusal) => refused(refusal),
        };
        self.queue.close_channel(channel);
        self.complete(reply)
    }

    /// Returns how many calls arrived, so that a stopping daemon sees when no more come.
    pub(crate) fn arrivals(&self) -> u64 {
        self.arrivals.load(Ordering::Relaxed)
    }

    async fn admit(&self, request: CallRequest) -> Result<Admitted, Refusal> {
        self.arrivals.fetch_add(1, Ordering::Relaxed);
        let now = self.shared.clock.now();
        let deadline = now + Duration::from_millis(request.remaining_ms);
        if self.shared.is_draining() {
            return Err(Refusal::Draining);
        }
        let customer: CustomerId = request.customer.parse().map_err(|_| Refusal::NotAllowed)?;
        let service: ServiceName = request.service.parse().map_err(|_| Refusal::NotAllowed)?;
        let admitted_by = request
            .admitted_by
            .map_or_else(ConfigHead::default, Into::into);
        if self.shared.config_head().version < admitted_by.version {
            let event = SpreadEvent::HeadFromCall(admitted_by);
            self.shared.tell_control(ControlMessage::Spread(event));
        }
        let weight = self
            .admit_by_plan(&customer, &service, admitted_by.version, deadline)
            .await?;
        let announcement = self.upstream(&service)?;
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

    /// Returns the customer's weight, by a configuration at least as new as the entry's.
    async fn admit_by_plan(
        &self,
        customer: &CustomerId,
        service: &ServiceName,
        version: ConfigVersion,
        deadline: Instant,
    ) -> Result<u32, Refusal> {
        let until = deadline.min(self.shared.clock.now() + CONFIGURATION_WAIT);
        loop {
            if let Some(decided) = self.decide_by_plan(customer, service, version) {
                return decided;
            }
            if self.shared.clock.now() >= until {
                return Err(Refusal::NoConfiguration);
            }
            tokio::time::sleep(CONFIGURATION_CHECK).await;
        }
    }

    fn decide_by_plan(
        &self,
        customer: &CustomerId,
        service: &ServiceName,
        version: ConfigVersion,
    ) -> Option<Result<u32, Refusal>> {
        let snapshot = self.shared.serving()?;
        match Admission::at_gate(&snapshot, customer, service, version) {
            Admission::Admitted { route, .. } => Some(Ok(route.weight)),
            Admission::FetchFirst(_) => None,
            Admission::Refused(_) => Some(Err(Refusal::NotAllowed)),
        }
    }

    fn upstream(&self, service: &ServiceName) -> Result<Announcement, Refusal> {
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

    async fn queue_and_run(self: &Arc<Self>, admitted: Admitted) -> CallReply {
        let slot = match self.wait_for_turn(&admitted).await {
            Ok(slot) => slot,
            Err(reply) => return reply,
        };
        let gate = Arc::clone(self);
        let service = admitted.service.clone();
        let running = tokio::task::spawn_blocking(move || gate.run(&admitted, slot));
        match running.await {
            Ok(ended) => self.published(ended, &service).await,
            Err(_) => lost(),
        }
    }

    /// Returns a run's reply once the other gates know what the run showed of crashes.
    async fn published(&self, ended: RunEnded, service: &ServiceName) -> CallReply {
        if let Some(notice) = &ended.notice {
            self.crashes.publish(notice, service).await;
        }
        ended.reply
    }

    async fn wait_for_turn(&self, admitted: &Admitted) -> Result<Slot<Arc<CallReply>>, CallReply> {
        let channel = channel_id(admitted.request.channel);
        if admitted.needs_claim() {
            return self.claim_and_wait(admitted, channel).await;
        }
        let place = self.queue.offer(admitted.work.clone(), channel);
        self.take_turn(admitted, place).await
    }

    /// Holds a request with a key until the key is claimed, and fences it if that fails.
    async fn claim_and_wait(
        &self,
        admitted: &Admitted,
        channel: ChannelId,
    ) -> Result<Slot<Arc<CallReply>>, CallReply> {
        let mut place = self.queue.hold(&admitted.work, channel);
        if let Some(turn) = place.try_turn() {
            return self.decided(admitted, turn).await;
        }
        let (call, customer) = (admitted.call, &admitted.work.customer);
        let claim = self
            .claims
            .claim(call, customer, &admitted.service, &admitted.request);
        let patience = self.remaining(admitted.deadline);
        let late = ClaimEnd::Refused(RefusalReason::DeadlineUnmeetable);
        match tokio::time::timeout(patience, claim).await.unwrap_or(late) {
            ClaimEnd::Claimed(policy) => {
                self.queue.offer_held(admitted.work.clone());
                let turn = self.take_turn(admitted, place).await;
                if turn.is_err() {
                    let claims = Arc::clone(&self.claims);
                    tokio::spawn(async move { claims.release(policy).await });
                }
                turn
            }
            ClaimEnd::Earlier(fate) => {
                drop(place);
                Err(earlier(fate))
            }
            ClaimEnd::Refused(reason) => {
                self.queue.refuse_held(call, reason);
                self.take_turn(admitted, place).await
            }
        }
    }

    async fn take_turn(
        &self,
        admitted: &Admitted,
        mut place: Place,
    ) -> Result<Slot<Arc<CallReply>>, CallReply> {
        let turn = match place.try_turn() {
            Some(turn) => turn,
            None => place.turn(self.remaining(admitted.deadline)).await,
        };
        self.decided(admitted, turn).await
    }

    async fn decided(
        &self,
        admitted: &Admitted,
        turn: Turn,
    ) -> Result<Slot<Arc<CallReply>>, CallReply> {
        match turn {
            Turn::Refused(refusal) => Err(CallReply {
                retry_after_ms: millis(refusal.retry_after),
                ..refused(wire_refusal(refusal.reason))
            }),
            Turn::Repeated => Err(self.answer_repeated(admitted).await),
            Turn::Start(slot) => Ok(slot),
        }
    }

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
                    tokio::time::sleep(REPEATED_CHECK).await;
                }
                _ => return lost(),
            }
        }
    }

    /// Hands a request to the upstream and waits for its whole answer.
    fn run(&self, admitted: &Admitted, slot: Slot<Arc<CallReply>>) -> RunEnded {
        let fingerprint = admitted.fingerprint();
        let running = match self.crashes.begin(fingerprint, &admitted.service) {
            Ok(running) => running,
            Err(refused) => {
                slot.finish(RunOutcome::NotSent);
                return RunEnded::quiet(*refused);
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
            UpstreamEnd::Answered(reply) => {
                let answer_bytes = reply.body.len();
                let answer = Arc::new(reply.clone());
                slot.finish(RunOutcome::Answered {
                    answer,
                    answer_bytes,
                });
                RunEnded {
                    notice: self.crashes.end(running, true),
                    reply,
                }
            }
            UpstreamEnd::Lost => {
                slot.finish(RunOutcome::Lost);
                RunEnded {
                    notice: self.crashes.lost(running, address),
                    reply: lost(),
                }
            }
            UpstreamEnd::NotSent => {
                self.shared.tell_control(ControlMessage::UpstreamRefused);
                slot.finish(RunOutcome::NotSent);
                RunEnded {
                    notice: self.crashes.end(running, false),
                    reply: refused(Refusal::UpstreamDown),
                }
            }
        }
    }

    fn complete(&self, mut reply: CallReply) -> CallReply {
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

    /// Returns the context of calls made during a run here, without the time that it has taken.
    pub(crate) fn deduct_run(&self, context: RequestContext) -> RequestContext {
        let running = context
            .parent
            .and_then(|parent| self.queue.running_for(parent))
            .unwrap_or_default();
        RequestContext {
            remaining: context.remaining.saturating_sub(running),
            ..context
        }
    }

    /// Returns a channel for a new connection from an entry.
    pub(crate) fn open_channel(&self) -> ChannelId {
        self.queue.open_channel()
    }
}

/// Tells a caller what came of the earlier try with its key.
fn earlier(fate: Fate<Arc<CallReply>>) -> CallReply {
    match fate {
        Fate::AnswerGone => ran_without_answer(),
        Fate::Ran(answer) => Arc::unwrap_or_clone(answer),
        Fate::MayHaveRun | Fate::NeverSeen | Fate::NotRun | Fate::Underway => lost(),
    }
}

fn lost() -> CallReply {
    CallReply::refused(Verdict::MayHaveRun, Refusal::UpstreamFailed)
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Returns the reply on a call that ran and whose answer is no longer kept.
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
        service_time_us: u64::try_from(load.run_time.as_micros()).unwrap_or(u64::MAX),
        slots: load.slots,
        slots_in_use: load.slots_in_use,
    }
}
