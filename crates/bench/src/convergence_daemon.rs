use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use medlarspool_config::{Lists, Snapshot};
use medlarspool_proto::{Datagram, FleetKey, SpreadPayload, TransferReply, decode_updates};
use medlarspool_spread::{
    DeltaUpdate, FetchOutcome, FetchSource, LinkClass, Refusal, SnapshotHolder, Spread,
    SpreadAction, SpreadEvent, SpreadMessage, SpreadPeer, apply_updates, refusal_of,
    update_between,
};
use medlarspool_types::{Address, ConfigHead, Incarnation};
use prost::Message;
use tokio::{
    net::UdpSocket,
    sync::{
        mpsc::{UnboundedReceiver, UnboundedSender},
        oneshot,
    },
};

use crate::{
    ConvergenceNetwork, ConvergenceRecord, ConvergenceStore,
    convergence_command::ConvergenceCommand, convergence_network::link_delay,
    convergence_record::IncarnationNumber, convergence_store::READ_TIME,
};

/// The bytes of one read of the head: request and answer with their headers.
const HEAD_READ_BYTES: usize = 700;
/// The rate at which the sending daemon's link carries a transfer.
const LINK_BYTES_PER_SECOND: u32 = 125_000_000;
/// The longest time without an event, after which the core handles a tick. A daemon without lists also sends
/// it, as the delay before the next request, to a peer that requests a transfer.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// One daemon of the convergence bench: the spread core, a UDP socket, and the holder of the snapshot from
/// which a real daemon would route calls.
pub(crate) struct ConvergenceDaemon {
    pub(crate) commands: UnboundedSender<ConvergenceCommand>,
    pub(crate) core: Spread,
    pub(crate) holder: Arc<SnapshotHolder<Snapshot>>,
    pub(crate) key: FleetKey,
    pub(crate) incarnation: IncarnationNumber,
    pub(crate) own_peer: SpreadPeer,
    pub(crate) network: Arc<ConvergenceNetwork>,
    pub(crate) record: Arc<ConvergenceRecord>,
    pub(crate) socket: Arc<UdpSocket>,
    pub(crate) store: Arc<ConvergenceStore>,
    pub(crate) pending_transfers: HashMap<u64, oneshot::Sender<TransferReply>>,
}

impl ConvergenceDaemon {
    /// Runs until the task is aborted.
    pub(crate) async fn run(mut self, mut commands: UnboundedReceiver<ConvergenceCommand>) {
        let mut buffer = vec![0; 2_048];
        let socket = Arc::clone(&self.socket);
        loop {
            let wait = self
                .core
                .next_wakeup()
                .map_or(MAX_WAIT, |at| at.saturating_duration_since(Instant::now()));
            tokio::select! {
                received = socket.recv_from(&mut buffer) => {
                    if let Ok((length, address)) = received {
                        self.receive_datagram(address, &buffer[..length]);
                    }
                }
                Some(command) = commands.recv() => self.handle_command(command),
                () = tokio::time::sleep(wait) => self.handle(SpreadEvent::Tick),
            }
            if self.core.readiness().is_ready() {
                self.record.record_ready(self.incarnation);
            }
        }
    }

    fn handle(&mut self, event: SpreadEvent) {
        let mut actions = Vec::new();
        self.core.handle(Instant::now(), event, &mut actions);
        for action in actions {
            self.perform(action);
        }
    }

    fn receive_datagram(&mut self, address: Address, sealed: &[u8]) {
        let Ok(datagram) = Datagram::open(&self.key, sealed) else {
            return self.record.record_violation();
        };
        let (head, sender) = (datagram.head(), datagram.sender.parse());
        let message = datagram.spread.map(SpreadMessage::try_from);
        if let (Ok(from), Some(Ok(message))) = (sender, message) {
            self.handle(SpreadEvent::Message {
                address,
                from,
                head,
                message,
            });
        }
    }

    fn handle_command(&mut self, command: ConvergenceCommand) {
        match command {
            ConvergenceCommand::Event(event) => self.handle(event),
            ConvergenceCommand::FetchFailed { outcome, source } => self.end_fetch(source, outcome),
            ConvergenceCommand::Transfer { base, reply } => {
                let request_id = fastrand::u64(..);
                self.pending_transfers.insert(request_id, reply);
                self.handle(SpreadEvent::TransferRequested { base, request_id });
            }
            ConvergenceCommand::Transferred { reply, source } => {
                let outcome = self.apply_transfer(&reply);
                self.end_fetch(source, outcome);
            }
        }
    }

    /// Performs one action of the core: applies updates, fetches, reads, sends, answers transfer requests or
    /// verifies the held lists.
    fn perform(&mut self, action: SpreadAction) {
        match action {
            SpreadAction::Apply { source, updates } => {
                let outcome = self.apply(updates);
                self.end_fetch(source, outcome);
            }
            SpreadAction::Fetch { base, head, source } => self.fetch(base, head, &source),
            SpreadAction::ReadHead => self.read_head(),
            SpreadAction::Send {
                address,
                link,
                message,
            } => self.send(address, link, &message),
            SpreadAction::TransferBusy {
                retry_after,
                request_id,
            } => self.reply_to_transfer(request_id, TransferReply::busy(retry_after)),
            SpreadAction::TransferGranted {
                request_id,
                updates,
            } => {
                let reply = self.transfer_reply(updates.as_deref());
                self.end_transfer_after(reply.encoded_len());
                self.reply_to_transfer(request_id, reply);
            }
            SpreadAction::Verify => {
                let held = self.holder.load_full();
                let intact = held.is_none_or(|held| held.lists().digest() == held.head().digest);
                self.handle(SpreadEvent::Verified { intact });
            }
        }
    }

    fn end_fetch(&mut self, source: FetchSource, outcome: FetchOutcome) {
        let head = self.holder.head();
        self.handle(SpreadEvent::Fetched {
            head,
            outcome,
            source,
        });
    }

    /// Applies updates to the held snapshot.
    fn apply(&self, updates: Vec<DeltaUpdate>) -> FetchOutcome {
        let Some(base) = self.holder.load_full() else {
            return FetchOutcome::Refused(Refusal::BaseMismatch);
        };
        match apply_updates(&base, &updates) {
            Ok(snapshot) => self.install(snapshot, updates),
            Err(reason) => FetchOutcome::Refused(reason),
        }
    }

    fn apply_whole_lists(&self, head: ConfigHead, encoded: &[u8]) -> FetchOutcome {
        let built = Lists::decode(encoded).and_then(|lists| Snapshot::build(head, lists.into()));
        match built {
            Ok(snapshot) => {
                let base = self.holder.load_full();
                let update = base.map(|base| update_between(&base, &snapshot));
                self.install(snapshot, Vec::from_iter(update))
            }
            Err(error) => FetchOutcome::Refused(refusal_of(&error)),
        }
    }

    /// Applies the updates or the whole lists of a transfer; a busy reply is returned as such.
    fn apply_transfer(&self, reply: &TransferReply) -> FetchOutcome {
        if let Some(retry_after) = reply.retry_after() {
            return FetchOutcome::Busy { retry_after };
        }
        if reply.deltas.is_empty() {
            return self.apply_whole_lists(reply.head(), &reply.lists);
        }
        match decode_updates(&reply.deltas) {
            Ok(updates) => self.apply(updates),
            Err(_) => FetchOutcome::Refused(Refusal::Damaged),
        }
    }

    /// Replaces the held snapshot by a newer one and returns the outcome of the fetch. Records a violation if a
    /// plan of the new lists names a missing service or if the lists do not match their digest.
    fn install(&self, snapshot: Snapshot, updates: Vec<DeltaUpdate>) -> FetchOutcome {
        let head = snapshot.head();
        let has_dangling_route = snapshot.lists().plans().iter().any(|plan| {
            let mut uses = plan.uses.iter();
            uses.any(|service| snapshot.lists().service(service).is_none())
        });
        if has_dangling_route || snapshot.lists().digest() != head.digest {
            self.record.record_violation();
        }
        match self.holder.swap_if_newer(head, Arc::new(snapshot)) {
            Ok(()) => {
                self.record.record_applied(self.incarnation, head);
                FetchOutcome::Applied { head, updates }
            }
            Err(reason) => FetchOutcome::Refused(reason),
        }
    }

    fn send(&self, address: Address, link: LinkClass, message: &SpreadMessage) {
        let head = self.core.announced_head();
        let incarnation = Incarnation(self.incarnation);
        let mut datagram = Datagram::from_sender(&self.own_peer.instance, incarnation, head);
        datagram.spread = Some(SpreadPayload::from(message));
        let sealed: Arc<[u8]> = datagram.seal(&self.key).into();
        if sealed.len() > Datagram::MAX_BYTES {
            self.record.record_violation();
        }
        self.network
            .send(&self.own_peer, &self.socket, address, link, &sealed);
    }

    fn read_head(&self) {
        self.network.count_bytes(LinkClass::Store, HEAD_READ_BYTES);
        let (commands, store) = (self.commands.clone(), Arc::clone(&self.store));
        let is_store_reachable = self.network.can_reach_store(&self.own_peer);
        tokio::spawn(async move {
            tokio::time::sleep(READ_TIME).await;
            let event = match store.read_head().filter(|_| is_store_reachable) {
                Some(head) => SpreadEvent::HeadRead(head),
                None => SpreadEvent::HeadReadFailed,
            };
            let _ = commands.send(ConvergenceCommand::Event(event));
        });
    }

    fn fetch(&self, base: Option<ConfigHead>, head: ConfigHead, source: &FetchSource) {
        match source {
            FetchSource::Offer(_) | FetchSource::Store => self.fetch_from_store(head),
            FetchSource::Peer(peer) => self.fetch_from_peer(base, peer, source),
        }
    }

    /// Reads a version's lists from the store and passes them to this daemon after the time of a read.
    fn fetch_from_store(&self, head: ConfigHead) {
        let base = self.holder.head();
        let (commands, store) = (self.commands.clone(), Arc::clone(&self.store));
        let network = Arc::clone(&self.network);
        let is_store_reachable = self.network.can_reach_store(&self.own_peer);
        tokio::spawn(async move {
            tokio::time::sleep(READ_TIME).await;
            let command = match store.read_lists(base, head).filter(|_| is_store_reachable) {
                Some(reply) => {
                    network.count_stream_bytes(LinkClass::Store, reply.encoded_len());
                    ConvergenceCommand::Transferred {
                        reply,
                        source: FetchSource::Store,
                    }
                }
                None => ConvergenceCommand::FetchFailed {
                    outcome: FetchOutcome::Failed,
                    source: FetchSource::Store,
                },
            };
            let _ = commands.send(command);
        });
    }

    /// Requests a transfer from a peer and passes the reply to this daemon after a round trip on their link.
    fn fetch_from_peer(&self, base: Option<ConfigHead>, peer: &SpreadPeer, source: &FetchSource) {
        let link = LinkClass::between(&self.own_peer, peer);
        let (reply, answer) = oneshot::channel();
        let peer_commands = self.network.reachable_daemon(&self.own_peer, peer.address);
        let command = ConvergenceCommand::Transfer { base, reply };
        let is_requested = peer_commands.is_some_and(|commands| commands.send(command).is_ok());
        let (commands, network) = (self.commands.clone(), Arc::clone(&self.network));
        let source = source.clone();
        tokio::spawn(async move {
            tokio::time::sleep(2 * link_delay(link)).await;
            let answer = if is_requested {
                answer.await.ok()
            } else {
                None
            };
            let command = match answer {
                Some(reply) => {
                    network.count_stream_bytes(link, reply.encoded_len());
                    ConvergenceCommand::Transferred { reply, source }
                }
                None => ConvergenceCommand::FetchFailed {
                    outcome: FetchOutcome::Failed,
                    source,
                },
            };
            let _ = commands.send(command);
        });
    }

    fn transfer_reply(&self, updates: Option<&[DeltaUpdate]>) -> TransferReply {
        let Some(held) = self.holder.load_full() else {
            return TransferReply::busy(MAX_WAIT);
        };
        TransferReply::granted(held.head(), updates, || held.lists().encode())
    }

    /// Reports the end of a transfer after the time that its bytes take on the sending daemon's link.
    fn end_transfer_after(&self, bytes: usize) {
        let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
        let commands = self.commands.clone();
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_secs(1) * bytes / LINK_BYTES_PER_SECOND).await;
            let _ = commands.send(ConvergenceCommand::Event(SpreadEvent::TransferEnded));
        });
    }

    fn reply_to_transfer(&mut self, request_id: u64, reply: TransferReply) {
        if let Some(requester) = self.pending_transfers.remove(&request_id) {
            // The requester may have been killed meanwhile.
            let _ = requester.send(reply);
        }
    }
}
