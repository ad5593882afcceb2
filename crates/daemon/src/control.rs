use std::{
    net::SocketAddr,
    sync::{
        Arc,
        mpsc::{Receiver, RecvTimeoutError, Sender},
    },
    thread::JoinHandle,
    time::Duration,
};

use medlarspool_membership::MembershipEvent;
use medlarspool_proto::Datagram;
use medlarspool_spread::SpreadEvent;
use stakker::{CX, MinTimerKey, Stakker, actor, call, ret_nop, timer_min};
use tokio::runtime::Handle;

use crate::{
    DaemonError, control_message::ControlMessage, datagram_socket::DatagramSocket,
    fleet_heads::FleetHeads, membership_agent::MembershipAgent, platform_job::PlatformJob,
    shared_state::SharedState, spread_agent::SpreadAgent,
};

/// How long changes of membership are collected before the spreading core gets the new list of peers.
const PEERS_UPDATE_DELAY: Duration = Duration::from_millis(200);

/// How long the control thread waits for a message at most.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// The actor that owns the membership and the spreading of configuration changes. It passes messages and
/// timers to both.
pub(crate) struct Control {
    heads: FleetHeads,
    membership: MembershipAgent,
    membership_timer: MinTimerKey,
    peers_timer: MinTimerKey,
    shared: Arc<SharedState>,
    spread: SpreadAgent,
    spread_timer: MinTimerKey,
}

impl Control {
    /// Runs the actor on a thread of its own until [`ControlMessage::Stop`].
    pub(crate) fn start(
        shared: Arc<SharedState>,
        socket: Arc<DatagramSocket>,
        platform: Sender<PlatformJob>,
        runtime: Handle,
        messages: Receiver<ControlMessage>,
    ) -> Result<JoinHandle<()>, DaemonError> {
        std::thread::Builder::new()
            .name("control".into())
            .spawn(move || serve(&shared, socket, platform, runtime, &messages))
            .map_err(|error| DaemonError::Thread(error.to_string()))
    }

    #[expect(
        clippy::unnecessary_wraps,
        reason = "an actor's constructor returns an option"
    )]
    fn init(
        cx: CX![],
        shared: Arc<SharedState>,
        socket: Arc<DatagramSocket>,
        platform: Sender<PlatformJob>,
        runtime: Handle,
    ) -> Option<Self> {
        call!([cx], tick_membership());
        call!([cx], tick_spread());
        Some(Self {
            heads: FleetHeads::new(Arc::clone(&shared), Arc::clone(&socket)),
            membership: MembershipAgent::new(
                Arc::clone(&shared),
                Arc::clone(&socket),
                platform.clone(),
            ),
            membership_timer: MinTimerKey::default(),
            peers_timer: MinTimerKey::default(),
            spread: SpreadAgent::new(Arc::clone(&shared), socket, platform, runtime),
            spread_timer: MinTimerKey::default(),
            shared,
        })
    }

    fn handle(&mut self, cx: CX![], message: ControlMessage) {
        match message {
            ControlMessage::AskHeads => self.heads.request(self.membership.members()),
            ControlMessage::ConnectionRefused(instance) => self
                .membership
                .handle_event(MembershipEvent::ConnectionRefused { instance }),
            ControlMessage::Datagram { address, sealed } => self.receive(address, &sealed),
            ControlMessage::DumpMembers(answer_sender) => {
                send_answer(&answer_sender, self.membership.dump());
            }
            ControlMessage::InterestInService(service) => self.membership.add_interest(&service),
            ControlMessage::Leave => self.membership.handle_event(MembershipEvent::Leave),
            ControlMessage::SeedRows {
                availability_zone,
                rows,
            } => self.membership.seed_rows_read(availability_zone, rows),
            ControlMessage::Spread(event) => self.spread.handle_event(event),
            ControlMessage::Status(answer_sender) => {
                send_answer(&answer_sender, self.heads.status(self.membership.members()));
            }
            ControlMessage::Stop => {
                self.membership.handle_event(MembershipEvent::Stop);
                cx.stop();
                return;
            }
            ControlMessage::TransferRequested {
                answer_sender,
                base,
            } => {
                self.spread.transfer_requested(base, answer_sender);
            }
            ControlMessage::UpstreamAnnounced(announcement) => {
                self.membership.announce(&announcement);
            }
            ControlMessage::UpstreamRefused => {
                self.membership
                    .handle_event(MembershipEvent::UpstreamRefused);
            }
        }
        self.schedule_membership(cx);
        self.schedule_spread(cx);
    }

    /// Authenticates and decodes a datagram and passes it on. If either fails, the datagram is only counted
    /// and logged.
    fn receive(&mut self, address: SocketAddr, sealed: &[u8]) {
        match Datagram::open(&self.shared.key, sealed) {
            Err(error) => {
                self.shared.metrics.datagrams_refused.inc();
                let (address, error) = (address.to_string(), error.to_string());
                log::debug!(address = address.as_str(), error = error.as_str(); "datagram refused");
            }
            Ok(datagram) => self.dispatch(address, datagram),
        }
    }

    /// Passes an authenticated datagram's head and payloads to the fleet's heads, the spreading and the
    /// membership.
    fn dispatch(&mut self, address: SocketAddr, mut datagram: Datagram) {
        let Ok(sender) = datagram.sender.parse() else {
            self.shared.metrics.datagrams_refused.inc();
            return;
        };
        self.heads.record(address, &sender, &datagram);
        let payload = datagram.spread.take();
        self.spread
            .receive(address, sender, datagram.head(), payload);
        if datagram.membership.is_some() {
            self.membership.receive(address, datagram);
        }
    }

    /// Sets the timer for the membership's next tick.
    fn schedule_membership(&mut self, cx: CX![]) {
        let next_wakeup = self.membership.next_wakeup();
        timer_min!(
            &mut self.membership_timer,
            next_wakeup,
            [cx],
            tick_membership()
        );
    }

    /// Sets the timer for the spreading's next tick, and the one for new peers if the members have changed.
    fn schedule_spread(&mut self, cx: CX![]) {
        if let Some(next_wakeup) = self.spread.next_wakeup() {
            timer_min!(&mut self.spread_timer, next_wakeup, [cx], tick_spread());
        }
        if self.membership.peers_changed() {
            let next_wakeup = self.shared.clock.now() + PEERS_UPDATE_DELAY;
            timer_min!(&mut self.peers_timer, next_wakeup, [cx], update_peers());
        }
    }

    /// Passes the living members to the spreading core, once for many changes of membership.
    fn update_peers(&mut self, cx: CX![]) {
        let peers = self.membership.take_peers();
        self.spread.handle_event(SpreadEvent::PeersChanged(peers));
        self.schedule_spread(cx);
    }

    /// Lets the membership do what is due. That may change the members, so both timers are set again.
    fn tick_membership(&mut self, cx: CX![]) {
        self.membership.tick();
        self.schedule_membership(cx);
        self.schedule_spread(cx);
    }

    /// Lets the spreading do what is due and sets its timer again.
    fn tick_spread(&mut self, cx: CX![]) {
        self.spread.handle_event(SpreadEvent::Tick);
        self.schedule_spread(cx);
    }
}

fn send_answer(answer_sender: &Sender<serde_json::Value>, value: serde_json::Value) {
    if answer_sender.send(value).is_err() {
        log::debug!("no thread waits for the answer any more");
    }
}

/// Runs the actor: passes messages to it and wakes its timers until [`ControlMessage::Stop`] was handled.
fn serve(
    shared: &Arc<SharedState>,
    socket: Arc<DatagramSocket>,
    platform: Sender<PlatformJob>,
    runtime: Handle,
    messages: &Receiver<ControlMessage>,
) {
    let mut stakker = Stakker::new(shared.clock.now());
    let control = actor!(
        stakker,
        Control::init(Arc::clone(shared), socket, platform, runtime),
        ret_nop!()
    );
    stakker.run(shared.clock.now(), false);
    loop {
        let wait = stakker.next_wait_max(shared.clock.now(), MAX_WAIT, false);
        match messages.recv_timeout(wait) {
            Ok(message) => {
                let stop = matches!(message, ControlMessage::Stop);
                call!([control], handle(message));
                stakker.run(shared.clock.now(), false);
                if stop {
                    return;
                }
            }
            Err(RecvTimeoutError::Disconnected) => return,
            Err(RecvTimeoutError::Timeout) => {
                stakker.run(shared.clock.now(), false);
            }
        }
    }
}
