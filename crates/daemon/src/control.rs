use std::{
    net::SocketAddr,
    sync::{
        Arc,
        mpsc::{Receiver, RecvTimeoutError, Sender},
    },
    thread::JoinHandle,
    time::Duration,
};

use medlarspool_config::Snapshot;
use medlarspool_membership::MembershipEvent;
use medlarspool_proto::Datagram;
use stakker::{CX, MinTimerKey, Stakker, actor, call, ret_nop, timer_min};

use crate::{
    DaemonError, control_message::ControlMessage, datagram_socket::DatagramSocket,
    membership_agent::MembershipAgent, platform_job::PlatformJob, shared::Shared,
};

/// The longest that the control thread waits for a message.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// The actor that alone puts configurations and directories in use.
pub(crate) struct Control {
    membership: MembershipAgent,
    membership_timer: MinTimerKey,
    platform: Sender<PlatformJob>,
    shared: Arc<Shared>,
}

impl Control {
    /// Runs the actor on a thread of its own until it is told to stop.
    pub(crate) fn start(
        shared: Arc<Shared>,
        socket: Arc<DatagramSocket>,
        platform: Sender<PlatformJob>,
        messages: Receiver<ControlMessage>,
    ) -> Result<JoinHandle<()>, DaemonError> {
        std::thread::Builder::new()
            .name("control".into())
            .spawn(move || serve(&shared, socket, platform, &messages))
            .map_err(|error| DaemonError::Thread(error.to_string()))
    }

    #[expect(
        clippy::unnecessary_wraps,
        reason = "an actor's constructor returns an option"
    )]
    fn init(
        cx: CX![],
        shared: Arc<Shared>,
        socket: Arc<DatagramSocket>,
        platform: Sender<PlatformJob>,
    ) -> Option<Self> {
        call!([cx], poll());
        call!([cx], wake_membership());
        Some(Self {
            membership: MembershipAgent::new(Arc::clone(&shared), socket, platform.clone()),
            membership_timer: MinTimerKey::default(),
            platform,
            shared,
        })
    }

    fn handle(&mut self, cx: CX![], message: ControlMessage) {
        match message {
            ControlMessage::Configuration(snapshot) => self.put_in_use(snapshot),
            ControlMessage::ConnectionRefused(instance) => self
                .membership
                .event(MembershipEvent::ConnectionRefused { instance }),
            ControlMessage::Datagram { address, sealed } => self.receive(address, &sealed),
            ControlMessage::DumpMembers(asker) => {
                if asker.send(self.membership.dump()).is_err() {
                    log::debug!("nobody waits for the dump any more");
                }
            }
            ControlMessage::Interest(service) => self.membership.take_interest(&service),
            ControlMessage::Leave => self.membership.event(MembershipEvent::Leave),
            ControlMessage::PollDone => {
                let interval = self.shared.settings.platform_poll_interval;
                stakker::after!(interval, [cx], poll());
            }
            ControlMessage::SeedRows {
                availability_zone,
                rows,
            } => self.membership.seed_rows_read(availability_zone, rows),
            ControlMessage::Stop => {
                self.membership.event(MembershipEvent::Stop);
                cx.stop();
                return;
            }
            ControlMessage::UpstreamAnnounced(announcement) => {
                self.membership.announce(&announcement);
            }
            ControlMessage::UpstreamRefused => {
                self.membership.event(MembershipEvent::UpstreamRefused);
            }
        }
        self.schedule_membership(cx);
    }

    fn poll(&mut self, _: CX![]) {
        let job = PlatformJob::Poll {
            held: self.shared.held(),
        };
        if self.platform.send(job).is_err() {
            log::error!("the platform thread is gone");
        }
    }

    fn receive(&mut self, address: SocketAddr, sealed: &[u8]) {
        match Datagram::open(&self.shared.key, sealed) {
            Err(error) => {
                self.shared.metrics.datagrams_refused.inc();
                let (address, error) = (address.to_string(), error.to_string());
                log::debug!(address = address.as_str(), error = error.as_str(); "datagram refused");
            }
            Ok(datagram) => self.membership.receive(address, datagram),
        }
    }

    fn schedule_membership(&mut self, cx: CX![]) {
        let next = self.membership.next_wakeup();
        timer_min!(&mut self.membership_timer, next, [cx], wake_membership());
    }

    fn wake_membership(&mut self, cx: CX![]) {
        self.membership.tick();
        self.schedule_membership(cx);
    }

    fn put_in_use(&mut self, snapshot: Arc<Snapshot>) {
        let head = snapshot.head();
        if head.version <= self.shared.held().version {
            self.shared.metrics.config_refused.inc();
            return;
        }
        self.shared.snapshot.store(Some(snapshot));
        self.shared.metrics.config_applied.inc();
        self.shared
            .metrics
            .config_version
            .set(i64::try_from(head.version.0).unwrap_or(i64::MAX));
        log::info!(version = head.version.0; "configuration in use");
    }
}

fn serve(
    shared: &Arc<Shared>,
    socket: Arc<DatagramSocket>,
    platform: Sender<PlatformJob>,
    messages: &Receiver<ControlMessage>,
) {
    let mut stakker = Stakker::new(shared.clock.now());
    let control = actor!(
        stakker,
        Control::init(Arc::clone(shared), socket, platform),
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
