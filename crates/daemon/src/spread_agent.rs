use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, mpsc::Sender},
    time::{Duration, Instant},
};

use medlarspool_proto::{Datagram, SpreadPayload, TransferReply, TransferRequest};
use medlarspool_spread::{
    DeltaUpdate, FetchOutcome, FetchSource, Spread, SpreadAction, SpreadEvent, SpreadMessage,
    SpreadPeer,
};
use medlarspool_types::{ConfigHead, InstanceId};
use prost::Message;
use tokio::{runtime::Handle, sync::oneshot};

use crate::{
    control_message::ControlMessage, datagram_socket::DatagramSocket, peer_pool::PeerPool,
    platform_job::PlatformJob, shared_state::SharedState, spread_apply, spread_state::SpreadState,
};

/// The timeout of a transfer from a peer.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(3);

/// Passes events to the spreading core and carries out the actions that it returns.
pub(crate) struct SpreadAgent {
    answer_senders: HashMap<u64, oneshot::Sender<TransferReply>>,
    core: Spread,
    next_request_id: u64,
    peers: Arc<PeerPool>,
    platform: Sender<PlatformJob>,
    runtime: Handle,
    shared: Arc<SharedState>,
    socket: Arc<DatagramSocket>,
}

impl SpreadAgent {
    pub(crate) fn new(
        shared: Arc<SharedState>,
        socket: Arc<DatagramSocket>,
        platform: Sender<PlatformJob>,
        runtime: Handle,
    ) -> Self {
        let settings = &shared.settings;
        let own_peer = SpreadPeer {
            address: settings.peers_address,
            availability_zone: settings.availability_zone.clone(),
            instance: settings.instance.clone(),
            region: settings.region.clone(),
        };
        let seed = shared.incarnation.0 ^ u64::from(std::process::id());
        let options = settings.spread.settings(settings.platform_poll_interval);
        let core = Spread::new(options, own_peer, seed, shared.clock.now());
        Self {
            answer_senders: HashMap::new(),
            core,
            next_request_id: 0,
            peers: Arc::new(PeerPool::new(shared.key.clone())),
            platform,
            runtime,
            shared,
            socket,
        }
    }

    /// Passes an event to the core and carries out the actions that it returns.
    pub(crate) fn handle_event(&mut self, event: SpreadEvent) {
        let mut actions = Vec::new();
        self.core
            .handle(self.shared.clock.now(), event, &mut actions);
        self.publish();
        for action in actions {
            self.execute(action);
        }
    }

    pub(crate) fn next_wakeup(&self) -> Option<Instant> {
        self.core.next_wakeup()
    }

    /// Passes the head in a datagram's envelope to the core, with the message about changes if there is one.
    pub(crate) fn receive(
        &mut self,
        address: SocketAddr,
        from: InstanceId,
        head: ConfigHead,
        payload: Option<SpreadPayload>,
    ) {
        match payload.map(SpreadMessage::try_from) {
            None => self.handle_event(SpreadEvent::PeerHead { from, head }),
            Some(Ok(message)) => self.handle_event(SpreadEvent::Message {
                address,
                from,
                head,
                message,
            }),
            Some(Err(error)) => {
                self.shared.metrics.datagrams_refused.inc();
                let error = error.to_string();
                log::debug!(error = error.as_str(); "a datagram about changes was refused");
            }
        }
    }

    /// Passes a peer's request for a transfer to the core, with an id by which the waiting peer is found
    /// when the core decides.
    pub(crate) fn transfer_requested(
        &mut self,
        base: Option<ConfigHead>,
        answer_sender: oneshot::Sender<TransferReply>,
    ) {
        let request_id = self.next_request_id;
        self.next_request_id += 1;
        self.answer_senders.insert(request_id, answer_sender);
        self.handle_event(SpreadEvent::TransferRequested { base, request_id });
    }

    /// Makes the core's state readable for the other threads.
    fn publish(&self) {
        let state = SpreadState {
            announced: self.core.announced_head(),
            counters: self.core.counters(),
            readiness: self.core.readiness(),
        };
        let previous = self.shared.spread.load();
        if previous.readiness != state.readiness {
            let readiness = state.readiness.to_string();
            log::info!(readiness = readiness.as_str(); "readiness");
        }
        self.shared.metrics.record_spread(&state.counters);
        self.shared.spread.store(Arc::new(state));
    }

    fn execute(&mut self, action: SpreadAction) {
        match action {
            SpreadAction::Apply { source, updates } => self.apply(source, updates),
            SpreadAction::Fetch { base, head, source } => match source {
                FetchSource::Peer(peer) => self.fetch_from_peer(base, head, peer),
                FetchSource::Offer(_) | FetchSource::Store => {
                    self.send_job(PlatformJob::ReadLists { head });
                }
            },
            SpreadAction::ReadHead => self.send_job(PlatformJob::ReadHead),
            SpreadAction::Send {
                address, message, ..
            } => self.send(address, &message),
            SpreadAction::TransferBusy {
                retry_after,
                request_id,
            } => send_answer(
                self.answer_senders.remove(&request_id),
                TransferReply::busy(retry_after),
            ),
            SpreadAction::TransferGranted {
                request_id,
                updates,
            } => {
                self.send_transfer(request_id, updates);
            }
            SpreadAction::Verify => self.verify(),
        }
    }

    /// Installs updates on a blocking thread and reports the outcome to the core.
    fn apply(&self, source: FetchSource, updates: Vec<DeltaUpdate>) {
        let shared = Arc::clone(&self.shared);
        self.runtime.spawn_blocking(move || {
            let head = updates
                .last()
                .map_or_else(ConfigHead::default, |last| last.head);
            let outcome = spread_apply::install_updates(&shared, updates);
            report_fetched(&shared, head, source, outcome);
        });
    }

    fn send_job(&self, job: PlatformJob) {
        if self.platform.send(job).is_err() {
            log::error!("the platform thread has ended");
        }
    }

    /// Requests a transfer from a peer, installs it on a blocking thread and reports the outcome to the core.
    fn fetch_from_peer(&self, base: Option<ConfigHead>, head: ConfigHead, peer: SpreadPeer) {
        let (peers, shared) = (Arc::clone(&self.peers), Arc::clone(&self.shared));
        self.runtime.spawn(async move {
            let request = TransferRequest {
                base: base.map(Into::into),
            };
            let reply = peers
                .transfer(peer.address, request, TRANSFER_TIMEOUT)
                .await;
            let source = FetchSource::Peer(peer);
            let Some(reply) = reply else {
                return report_fetched(&shared, head, source, FetchOutcome::Failed);
            };
            tokio::task::spawn_blocking(move || {
                let byte_count = reply.encoded_len() as u64;
                shared.metrics.control_bytes_received.inc_by(byte_count);
                let outcome = spread_apply::install_transfer(&shared, &reply);
                report_fetched(&shared, head, source, outcome);
            });
        });
    }

    /// Sends the updates or the whole lists to the requesting peer, then reports the end to the core.
    fn send_transfer(&mut self, request_id: u64, updates: Option<Vec<DeltaUpdate>>) {
        let answer_sender = self.answer_senders.remove(&request_id);
        let shared = Arc::clone(&self.shared);
        self.runtime.spawn_blocking(move || {
            let reply = spread_apply::transfer_reply(&shared, updates.as_deref());
            let byte_count = reply.encoded_len() as u64;
            shared.metrics.control_bytes_sent.inc_by(byte_count);
            send_answer(answer_sender, reply);
            shared.send_to_control(ControlMessage::Spread(SpreadEvent::TransferEnded));
        });
    }

    fn send(&self, address: SocketAddr, message: &SpreadMessage) {
        let instance = &self.shared.settings.instance;
        let head = self.core.announced_head();
        let mut datagram = Datagram::from_sender(instance, self.shared.incarnation, head);
        datagram.spread = Some(message.into());
        self.socket.send(address, &datagram.seal(&self.shared.key));
    }

    /// Compares the lists in use with their digest on a blocking thread and reports the result to the core.
    fn verify(&self) {
        let shared = Arc::clone(&self.shared);
        self.runtime.spawn_blocking(move || {
            let intact = spread_apply::matches_digest(&shared);
            if !intact {
                log::error!("the lists in use are damaged");
            }
            shared.send_to_control(ControlMessage::Spread(SpreadEvent::Verified { intact }));
        });
    }
}

fn send_answer(answer_sender: Option<oneshot::Sender<TransferReply>>, reply: TransferReply) {
    let is_gone = answer_sender.is_none_or(|answer_sender| answer_sender.send(reply).is_err());
    if is_gone {
        log::debug!("the peer no longer waits for the transfer");
    }
}

fn report_fetched(
    shared: &SharedState,
    head: ConfigHead,
    source: FetchSource,
    outcome: FetchOutcome,
) {
    shared.send_to_control(ControlMessage::Spread(SpreadEvent::Fetched {
        head,
        outcome,
        source,
    }));
}
