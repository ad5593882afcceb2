use std::{sync::Arc, time::Duration};

use medlarspool_config::RouteDecision;
use medlarspool_proto::{CallReply, CallRequest, LoadReport, Refusal, WireHead};
use medlarspool_types::{CustomerId, ServiceName, Verdict};

use crate::{
    control_message::ControlMessage, local_upstream::Announced, shared::Shared,
    upstream_client::UpstreamClient,
};

/// When a refused caller is told to come back.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// The only way to the upstream beside this daemon, so that its "not run" is a fact.
pub(crate) struct Gate {
    client: Arc<UpstreamClient>,
    shared: Arc<Shared>,
}

impl Gate {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self {
            client: Arc::new(UpstreamClient::new(shared.settings.max_body_bytes)),
            shared,
        }
    }

    pub(crate) async fn call(&self, request: CallRequest) -> CallReply {
        let mut reply = match self.admit(&request) {
            Ok(announced) => self.run(announced, request).await,
            Err(refusal) => CallReply::refused(Verdict::NotRun, refusal),
        };
        reply.held = Some(WireHead::from(self.shared.held()));
        reply.load = self.load();
        if reply.typed_verdict() == Verdict::NotRun {
            reply.retry_after_ms = u64::try_from(RETRY_AFTER.as_millis()).unwrap_or(u64::MAX);
        }
        reply
    }

    fn admit(&self, request: &CallRequest) -> Result<Announced, Refusal> {
        if self.shared.is_draining() {
            return Err(Refusal::Draining);
        }
        self.check_plan(request)?;
        let announced = self
            .shared
            .local_upstream
            .current(self.shared.clock.now())
            .filter(|announced| announced.announcement.service.as_str() == request.service)
            .ok_or(Refusal::UpstreamMissing)?;
        if announced.announcement.draining {
            return Err(Refusal::Draining);
        }
        Ok(announced)
    }

    fn check_plan(&self, request: &CallRequest) -> Result<(), Refusal> {
        let snapshot = self.shared.serving();
        let snapshot = snapshot.as_ref().ok_or(Refusal::NoConfiguration)?;
        let admitted_version = request.admitted_by.map_or(0, |head| head.version);
        if snapshot.head().version.0 < admitted_version {
            return Err(Refusal::NoConfiguration);
        }
        let customer: CustomerId = request.customer.parse().map_err(|_| Refusal::NotAllowed)?;
        let service: ServiceName = request.service.parse().map_err(|_| Refusal::NotAllowed)?;
        match snapshot.route(&customer, &service) {
            RouteDecision::Allowed(_) => Ok(()),
            RouteDecision::NotInPlan
            | RouteDecision::UnknownCustomer
            | RouteDecision::UnknownService => Err(Refusal::NotAllowed),
        }
    }

    fn load(&self) -> Option<LoadReport> {
        let announced = self
            .shared
            .local_upstream
            .current(self.shared.clock.now())?;
        let slots = announced.announcement.slots;
        let free = u32::try_from(announced.slots.available_permits()).unwrap_or(slots);
        Some(LoadReport {
            slots,
            slots_in_use: slots.saturating_sub(free),
            ..LoadReport::default()
        })
    }

    async fn run(&self, announced: Announced, request: CallRequest) -> CallReply {
        let remaining = Duration::from_millis(request.remaining_ms);
        let started_at = self.shared.clock.now();
        let slot = tokio::time::timeout(remaining, announced.slots.acquire_owned()).await;
        let Ok(Ok(slot)) = slot else {
            return CallReply::refused(Verdict::NotRun, Refusal::Deadline);
        };
        let waited = self.shared.clock.now().duration_since(started_at);
        let timeout = remaining.saturating_sub(waited);
        let address = announced.announcement.address;
        let client = Arc::clone(&self.client);
        let running = tokio::task::spawn_blocking(move || {
            let reply = client.run(address, &request, timeout);
            drop(slot);
            reply
        });
        let reply = running
            .await
            .unwrap_or_else(|_| CallReply::refused(Verdict::MayHaveRun, Refusal::UpstreamFailed));
        let is_refused = reply.typed_verdict() == Verdict::NotRun;
        if is_refused && reply.refusal() == Refusal::UpstreamFailed {
            self.shared.tell_control(ControlMessage::UpstreamRefused);
        }
        reply
    }
}
