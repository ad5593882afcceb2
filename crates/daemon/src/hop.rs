use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use medlarspool_calls::{
    CallOutcome, Fate,
    Idempotency::{self, NonIdempotent},
};
use medlarspool_proto::{CallReply, CallRequest, FateRequest, ProtoError, Refusal, WireChannel};
use medlarspool_types::Verdict;

use tonic::Status;

use crate::{
    fate_codec::fate_reply,
    gate::{Gate, ran_without_answer},
    hop_result::HopResult,
    peer_connection::PeerConnection,
    peer_pool::PeerPool,
    shared_state::SharedState,
};

/// How long after a call's deadline its gate may still reply before the connection counts as lost.
const GATE_REPLY_GRACE: Duration = Duration::from_millis(250);

/// The timeout of a request for a fate.
const FATE_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// How long after the call's deadline its fate is still asked for.
const SETTLE_GRACE: Duration = Duration::from_secs(1);

/// The interval at which the fate of a call that is underway is asked for.
const UNDERWAY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The shortest time without a reply after which a gate is asked for the fate over a new connection.
const MIN_INQUIRY_DELAY: Duration = Duration::from_secs(1);

/// The multiple of the expected latency after which a gate is asked for the fate, if that is longer than
/// [`MIN_INQUIRY_DELAY`].
const INQUIRY_DELAY_FACTOR: u32 = 4;

/// Sends attempts from this entry to gates, and finds out an attempt's fate if no reply arrives.
pub(crate) struct Hop {
    pub(crate) gate: Arc<Gate>,
    pub(crate) peers: Arc<PeerPool>,
    pub(crate) shared: Arc<SharedState>,
}

/// An attempt that was sent to a peer.
struct SentAttempt {
    address: SocketAddr,
    call_id: Vec<u8>,
    channel: WireChannel,
    deadline: Instant,
    id_created_at: Instant,
    idempotency: Idempotency,
}

impl Hop {
    /// Makes one attempt at the gate at `address`; this daemon's own gate is called without a connection.
    pub(crate) async fn attempt(
        &self,
        address: SocketAddr,
        request: CallRequest,
        expected_latency: Duration,
        idempotency: Idempotency,
    ) -> HopResult {
        let started_at = self.shared.clock.now();
        let deadline = started_at + Duration::from_millis(request.remaining_ms);
        let reply = if address == self.shared.settings.peers_address {
            Some(self.gate.call_local(request).await)
        } else {
            let sent = SentAttempt {
                address,
                call_id: request.call_id.clone(),
                channel: WireChannel::default(),
                deadline,
                id_created_at: started_at,
                idempotency,
            };
            self.attempt_at_peer(sent, request, expected_latency).await
        };
        let now = self.shared.clock.now();
        let elapsed = now.duration_since(started_at);
        match reply {
            Some(reply) => HopResult {
                outcome: outcome(&reply, elapsed, now >= deadline),
                reply,
            },
            None => HopResult {
                outcome: CallOutcome::ConnectFailed,
                reply: CallReply::refused(Verdict::NotRun, Refusal::UpstreamDown),
            },
        }
    }

    /// Returns `None` if no connection to the peer could be made, in which case nothing was sent.
    ///
    /// The transport replaces a lost connection by itself, so that the peer may have restarted without a failed call.
    /// Its gate then refuses the attempt, since the channel belongs to its earlier life. The attempt did not run and is
    /// sent once more, over a new connection with a new channel.
    async fn attempt_at_peer(
        &self,
        mut sent: SentAttempt,
        mut request: CallRequest,
        expected_latency: Duration,
    ) -> Option<CallReply> {
        let mut may_send_again = true;
        loop {
            let connection = self.peers.connection(sent.address).await.ok()?;
            sent.channel = connection.channel;
            request.channel = Some(connection.channel);
            let reply = self
                .send(&connection, request.clone(), &sent, expected_latency)
                .await;
            let is_channel_closed = reply
                .as_ref()
                .is_some_and(|reply| reply.refusal() == Refusal::ChannelClosed);
            if reply.is_some() && !is_channel_closed {
                return reply;
            }
            self.peers.discard(sent.address, connection.channel).await;
            match reply {
                None => return Some(self.settle(&sent).await),
                Some(_) if std::mem::take(&mut may_send_again) => {
                    request.remaining_ms = millis(self.remaining(sent.deadline));
                }
                reply => return reply,
            }
        }
    }

    /// Sends an attempt and waits for the reply. Returns `None` if the connection failed, or if the gate,
    /// asked over another connection, did not say that the attempt ran or is underway. The delay before such
    /// a question doubles each time.
    async fn send(
        &self,
        connection: &PeerConnection,
        request: CallRequest,
        sent: &SentAttempt,
        expected_latency: Duration,
    ) -> Option<CallReply> {
        let timeout = self.remaining(sent.deadline) + GATE_REPLY_GRACE;
        let reply = connection.client.call(request, timeout);
        let mut reply = std::pin::pin!(reply);
        let mut inquiry_delay = MIN_INQUIRY_DELAY.max(expected_latency * INQUIRY_DELAY_FACTOR);
        loop {
            tokio::select! {
                reply = &mut reply => return reply_or_none(reply),
                () = tokio::time::sleep(inquiry_delay) => {}
            }
            inquiry_delay *= 2;
            tokio::select! {
                reply = &mut reply => return reply_or_none(reply),
                fate = self.inquire(sent) => match fate {
                    Some(Fate::Ran(answer)) => return Some(Arc::unwrap_or_clone(answer)),
                    Some(Fate::Underway) => {}
                    _ => return None,
                },
            }
        }
    }

    /// Asks for an attempt's fate over a new connection, without fencing the attempt. Returns `None` if the
    /// gate does not answer.
    async fn inquire(&self, sent: &SentAttempt) -> Option<Fate<Arc<CallReply>>> {
        let connection = self.peers.connect(sent.address).await.ok()?;
        let request = sent.fate_request(false);
        let answer = connection.client.fate(request, FATE_REQUEST_TIMEOUT).await;
        Some(fate_reply(answer.ok()?).fate)
    }

    /// Settles an attempt's fate: asks until the gate knows it, the gate can't be reached, or
    /// [`SETTLE_GRACE`] after the deadline is over. The question fences an attempt that has not started and
    /// closes its channel.
    ///
    /// If the gate accepts connections but does not answer, only a non-idempotent request keeps asking; an
    /// idempotent one can be retried elsewhere at once.
    async fn settle(&self, sent: &SentAttempt) -> CallReply {
        let settle_deadline = sent.deadline + SETTLE_GRACE;
        while self.shared.clock.now() < settle_deadline {
            let connection = match self.peers.connection(sent.address).await {
                Ok(connection) => connection,
                Err(ProtoError::PeerSilent(_)) if sent.idempotency == NonIdempotent => continue,
                Err(_) => return may_have_run(),
            };
            let request = sent.fate_request(true);
            let answer = connection.client.fate(request, FATE_REQUEST_TIMEOUT).await;
            let Ok(answer) = answer else {
                self.peers.discard(sent.address, connection.channel).await;
                continue;
            };
            let age = self.shared.clock.now().duration_since(sent.id_created_at);
            match fate_reply(answer).settle(age) {
                Fate::AnswerGone => return ran_without_answer(),
                Fate::MayHaveRun | Fate::NeverSeen => return may_have_run(),
                Fate::NotRun => return CallReply::refused(Verdict::NotRun, Refusal::Fenced),
                Fate::Ran(answer) => return Arc::unwrap_or_clone(answer),
                Fate::Underway => tokio::time::sleep(UNDERWAY_POLL_INTERVAL).await,
            }
        }
        may_have_run()
    }

    fn remaining(&self, deadline: Instant) -> Duration {
        deadline.saturating_duration_since(self.shared.clock.now())
    }
}

impl SentAttempt {
    /// Returns the request for the attempt's fate. If `settle` is set, the gate also fences an attempt that
    /// has not started, and closes its channel.
    fn fate_request(&self, settle: bool) -> FateRequest {
        FateRequest {
            call_id: self.call_id.clone(),
            channel: Some(self.channel),
            settle,
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn may_have_run() -> CallReply {
    CallReply::refused(Verdict::MayHaveRun, Refusal::UpstreamFailed)
}

/// Returns what a reply shows about the upstream.
fn outcome(reply: &CallReply, elapsed: Duration, deadline_passed: bool) -> CallOutcome {
    match (reply.typed_verdict(), reply.refusal()) {
        (Verdict::Ran, _) => CallOutcome::Answered { elapsed },
        (Verdict::MayHaveRun, _) if deadline_passed => CallOutcome::TimedOut { elapsed },
        (Verdict::MayHaveRun, _) => CallOutcome::Lost,
        (Verdict::NotRun, Refusal::UpstreamDown | Refusal::UpstreamMissing) => {
            CallOutcome::UpstreamDown
        }
        (Verdict::NotRun, _) => CallOutcome::Refused,
    }
}

fn reply_or_none(reply: Result<CallReply, Status>) -> Option<CallReply> {
    reply
        .inspect_err(|status| {
            log::debug!(status = status.to_string().as_str(); "no reply came from a gate");
        })
        .ok()
}
