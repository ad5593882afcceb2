use std::{
    sync::{Arc, mpsc::Sender},
    time::Duration,
};

use medlarspool_calls::{
    CallSettings, ChannelId, ClaimKey, ClaimPolicy, ClaimRow, ClaimStep, ClaimWrite,
    ClaimWriteOutcome, Fate, FateQuestion, Fingerprint, QuestionKind, RefusalReason,
    StoredClaimRow,
};
use medlarspool_proto::{CallReply, CallRequest, FateRequest};
use medlarspool_types::{CallId, CustomerId, ServiceName};
use tokio::sync::oneshot;

use crate::{
    claim_job::ClaimJob,
    claim_outcome::ClaimOutcome,
    fate_codec::{fate_reply, wire_channel},
    gate_queue::GateQueue,
    peer_pool::PeerPool,
    shared_state::SharedState,
};

/// The interval at which the fate of an earlier attempt is asked for while it is underway.
const HOLDER_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The timeout of a request to another gate for the fate of an earlier attempt.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(500);

/// Claims idempotency keys for the attempts at this gate, step by step as [`ClaimPolicy`] decides.
pub(crate) struct Claims {
    pub(crate) jobs: Sender<ClaimJob>,
    pub(crate) peers: Arc<PeerPool>,
    pub(crate) queue: Arc<GateQueue>,
    pub(crate) settings: CallSettings,
    pub(crate) shared: Arc<SharedState>,
}

impl Claims {
    /// Claims the request's key for this attempt, or finds out the fate of the attempt that holds it.
    pub(crate) async fn claim(
        &self,
        call: CallId,
        customer: &CustomerId,
        service: &ServiceName,
        request: &CallRequest,
    ) -> ClaimOutcome {
        let Ok(key) = ClaimKey::parse(customer, service, &request.idempotency_key) else {
            // Not expected: the entry refuses malformed keys before it sends a call.
            return ClaimOutcome::Refused(RefusalReason::KeyExpired);
        };
        let (method, path) = (request.method.as_str(), request.path.as_str());
        let fingerprint = Fingerprint::of(customer, service, method, path, &request.body);
        let own_row = ClaimRow {
            attempt: call,
            fingerprint,
            gate: self.shared.settings.instance.clone(),
            gate_address: self.shared.settings.peers_address,
            gate_incarnation: self.shared.incarnation,
        };
        let mut policy = ClaimPolicy::new(&self.settings, key, own_row);
        let mut step = policy.start(self.shared.clock.system_now(), &self.settings);
        loop {
            step = match step {
                ClaimStep::AskHolder(row) => self.ask_holder(&mut policy, row).await,
                ClaimStep::Earlier(fate) => return ClaimOutcome::Earlier(fate),
                ClaimStep::Read => self.read_holder(&mut policy).await,
                ClaimStep::Refuse(reason) => return ClaimOutcome::Refused(reason),
                ClaimStep::Run => return ClaimOutcome::Claimed(policy),
                ClaimStep::Wait(row) => {
                    tokio::time::sleep(HOLDER_POLL_INTERVAL).await;
                    self.ask_holder(&mut policy, row).await
                }
                ClaimStep::Write(write) => {
                    let outcome = self.write(write).await;
                    policy.on_write(outcome)
                }
            };
        }
    }

    /// Releases the key of an attempt that claimed it and was refused afterwards.
    pub(crate) async fn release(&self, policy: ClaimPolicy) {
        let holder = self.read(policy.key().row_key()).await;
        if let Ok(Some(holder)) = holder
            && let Some(write) = policy.release(&holder)
        {
            self.write(write).await;
        }
    }

    /// Passes the holder's fate to the policy; the holder may have run if its gate does not answer.
    async fn ask_holder(
        &self,
        policy: &mut ClaimPolicy,
        row: ClaimRow,
    ) -> ClaimStep<Arc<CallReply>> {
        let fate = self.holder_fate(&row).await.unwrap_or(Fate::MayHaveRun);
        policy.on_fate(row, fate)
    }

    /// Asks the holder's gate, which may be this one, for the holder's fate; returns `None` if that gate does
    /// not answer.
    async fn holder_fate(&self, row: &ClaimRow) -> Option<Fate<Arc<CallReply>>> {
        let channel = ChannelId {
            gate_incarnation: row.gate_incarnation,
            // An inquiry closes no channel, so the channel's number does not matter.
            number: 0,
        };
        if row.gate_address == self.shared.settings.peers_address {
            let question = FateQuestion {
                call: row.attempt,
                channel,
                kind: QuestionKind::Inquire,
            };
            return Some(self.queue.ask(&question).fate);
        }
        let connection = self.peers.connection(row.gate_address).await.ok()?;
        let request = FateRequest {
            call_id: row.attempt.0.to_be_bytes().to_vec(),
            channel: Some(wire_channel(channel)),
            settle: false,
        };
        let answer = connection.client.fate(request, HOLDER_TIMEOUT).await;
        if answer.is_err() {
            let address = row.gate_address;
            self.peers.discard(address, connection.channel).await;
        }
        Some(fate_reply(answer.ok()?).fate)
    }

    async fn read_holder(&self, policy: &mut ClaimPolicy) -> ClaimStep<Arc<CallReply>> {
        match self.read(policy.key().row_key()).await {
            Ok(holder) => policy.on_read(holder),
            Err(_) => policy.on_read_failed(),
        }
    }

    /// Reads a claim row; the error means that it could not be read.
    async fn read(&self, key: String) -> Result<Option<StoredClaimRow>, oneshot::error::RecvError> {
        let (answer_sender, answer_receiver) = oneshot::channel();
        if self
            .jobs
            .send(ClaimJob::Read { answer_sender, key })
            .is_err()
        {
            log::debug!("the claims' thread has ended");
        }
        answer_receiver.await
    }

    /// Writes a claim with the next transaction and waits for the outcome. The outcome is `Unknown` if the
    /// claims' thread ends before it answers, and `Down` if that thread had ended already.
    async fn write(&self, write: ClaimWrite) -> ClaimWriteOutcome {
        let (answer_sender, answer_receiver) = oneshot::channel();
        if self
            .jobs
            .send(ClaimJob::Write {
                answer_sender,
                write,
            })
            .is_err()
        {
            return ClaimWriteOutcome::Down;
        }
        answer_receiver.await.unwrap_or(ClaimWriteOutcome::Unknown)
    }
}
