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
use stakker::{CX, Stakker, actor, call, ret_nop};

use crate::{
    DaemonError, control_message::ControlMessage, datagram_socket::DatagramSocket,
    directory::Directory, platform_job::PlatformJob, shared::Shared,
    upstream_record::UpstreamRecord,
};

/// The longest that the control thread waits for a message.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// The actor that alone puts configurations and directories in use.
pub(crate) struct Control {
    platform: Sender<PlatformJob>,
    shared: Arc<Shared>,
    #[expect(dead_code, reason = "nothing is sent until the membership is wired in")]
    socket: Arc<DatagramSocket>,
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
        Some(Self {
            platform,
            shared,
            socket,
        })
    }

    fn handle(&mut self, cx: CX![], message: ControlMessage) {
        match message {
            ControlMessage::Configuration(snapshot) => self.put_in_use(snapshot),
            ControlMessage::Datagram { address, sealed } => self.receive(address, &sealed),
            ControlMessage::PollDone => {
                let interval = self.shared.settings.platform_poll_interval;
                stakker::after!(interval, [cx], poll());
            }
            ControlMessage::Stop => cx.stop(),
            ControlMessage::Upstreams(records) => {
                self.shared
                    .directory
                    .store(Arc::new(Directory::from_iter(records)));
            }
        }
    }

    fn own_record(&self) -> Option<UpstreamRecord> {
        let settings = &self.shared.settings;
        let announced = self
            .shared
            .local_upstream
            .current(self.shared.clock.now())?;
        Some(UpstreamRecord {
            availability_zone: settings.availability_zone.clone(),
            draining: announced.announcement.draining || self.shared.is_draining(),
            gate_address: settings.peers_address,
            gate_incarnation: self.shared.incarnation,
            instance: settings.instance.clone(),
            service: announced.announcement.service,
            slots: announced.announcement.slots,
        })
    }

    fn poll(&mut self, _: CX![]) {
        let job = PlatformJob::Poll {
            held: self.shared.held(),
            own: self.own_record(),
        };
        if self.platform.send(job).is_err() {
            log::error!("the platform thread is gone");
        }
    }

    fn receive(&mut self, address: SocketAddr, sealed: &[u8]) {
        if self.shared.key.open(sealed).is_none() {
            self.shared.metrics.datagrams_refused.inc();
            log::debug!(address = address.to_string().as_str(); "a datagram's seal is not the fleet's");
        }
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
