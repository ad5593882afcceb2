use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
        mpsc::{self, Sender},
    },
    thread::JoinHandle,
    time::{Duration, SystemTime},
};

use arc_swap::ArcSwap;
use medlarspool_calls::CallSettings;
use medlarspool_platform::Platform;
use medlarspool_proto::{FleetKey, MAX_MESSAGE_BYTES, PeerServer};
use medlarspool_spread::SnapshotHolder;
use medlarspool_types::{Clock, ConfigHead, Incarnation};
use tokio::{net::TcpListener, runtime::Runtime, sync::oneshot};
use tonic::transport::{Server, server::TcpIncoming};

use crate::{
    DaemonError, Settings, administration::Administration, announcements::Announcements,
    bounded_server::BoundedServer, call_decisions::CallDecisions, claim_worker::ClaimWorker,
    control::Control, control_message::ControlMessage, datagram_socket::DatagramSocket,
    directory::Directory, entry::Entry, gate::Gate, local_upstream::LocalUpstream,
    metrics::Metrics, peer_pool::PeerPool, peer_service::PeerService,
    platform_worker::PlatformWorker, shared_state::SharedState, spread_state::SpreadState,
};

/// The time without an arriving call after which a draining gate stops answering.
const QUIET_PERIOD: Duration = Duration::from_secs(1);

/// The interval at which a draining gate checks whether calls still arrive.
const QUIET_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The interval of the [`crate::PeriodicConnector`] of the callers' server; see `docs/design/daemon.md`.
const CALLERS_CONNECT_INTERVAL: Duration = Duration::from_millis(50);

/// The interval of the [`crate::PeriodicConnector`]s of the administration and the announcement servers.
const AUXILIARY_CONNECT_INTERVAL: Duration = Duration::from_millis(500);

/// The number of workers beyond `worker_threads`; they refuse callers while all others are busy.
const REFUSING_WORKERS: usize = 4;

/// The number of workers of the administration and the announcement servers, each.
const AUXILIARY_WORKERS: usize = 2;

/// How long a leaving daemon continues to serve, so that peers are notified before their calls are refused.
const LEAVE_DELAY: Duration = Duration::from_secs(1);

/// A running daemon: its servers, its threads and its async runtime. [`Self::stop`] ends them.
pub struct Daemon {
    administration: BoundedServer,
    announcements: BoundedServer,
    callers: BoundedServer,
    control: Sender<ControlMessage>,
    gate: Arc<Gate>,
    peer_server: tokio::task::JoinHandle<()>,
    peer_server_stop: oneshot::Sender<()>,
    runtime: Runtime,
    shared: Arc<SharedState>,
    threads: Vec<JoinHandle<()>>,
}

impl Daemon {
    /// Starts all threads and servers of a daemon.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be listened on, a thread can't be started or the fleet key is
    /// invalid.
    pub fn start(
        settings: Settings,
        platform: Arc<dyn Platform>,
        clock: Arc<dyn Clock>,
    ) -> Result<Self, DaemonError> {
        let (control, control_messages) = mpsc::channel();
        let shared = Arc::new(new_shared_state(settings, clock, control.clone())?);
        let runtime = start_runtime()?;
        let call_settings = CallSettings::default();
        let peer_pool = Arc::new(PeerPool::new(shared.key.clone()));
        let (claim_sender, claim_jobs) = mpsc::channel();
        let gate = Gate::new(
            Arc::clone(&shared),
            &call_settings,
            Arc::clone(&peer_pool),
            claim_sender,
        );
        let (platform_sender, platform_jobs) = mpsc::channel();
        let socket = Arc::new(DatagramSocket::bind(Arc::clone(&shared))?);
        let threads = vec![
            ClaimWorker::start(
                Arc::clone(&shared),
                &call_settings,
                Arc::clone(&platform),
                claim_jobs,
            )?,
            Arc::clone(&socket).start_receiver(control.clone())?,
            PlatformWorker::start(
                Arc::clone(&shared),
                platform,
                control.clone(),
                platform_jobs,
            )?,
            Control::start(
                Arc::clone(&shared),
                socket,
                platform_sender,
                runtime.handle().clone(),
                control_messages,
            )?,
        ];
        let (peer_server_stop, stop_received) = oneshot::channel();
        let peer_server = serve_peers(&runtime, &shared, &gate, stop_received)?;
        // The callers' server starts first: once one of the other two answers, callers are served as well.
        let decisions = Arc::new(CallDecisions::new(Arc::clone(&shared), &call_settings));
        let entry = Entry::new(
            &shared,
            &call_settings,
            Arc::clone(&decisions),
            Arc::clone(&gate),
            peer_pool,
            runtime.handle().clone(),
        );
        let callers = start_callers(&shared, entry)?;
        let announcements = start_announcements(&shared)?;
        let administration = start_administration(&shared, decisions)?;
        let daemon = Self {
            administration,
            announcements,
            callers,
            control,
            gate,
            peer_server,
            peer_server_stop,
            runtime,
            shared,
            threads,
        };
        log::info!(instance = daemon.shared.settings.instance.as_str(); "serving");
        Ok(daemon)
    }

    /// Returns the head of the configuration in use; version 0 means that there is none yet.
    #[must_use]
    pub fn config_head(&self) -> ConfigHead {
        self.shared.config_head()
    }

    /// Returns the async runtime that serves peers and sends requests to them.
    #[must_use]
    pub fn runtime(&self) -> &Runtime {
        &self.runtime
    }

    /// Performs a planned stop: accepts no new work, finishes what is in flight, then returns.
    pub fn stop(self) {
        log::info!("draining");
        self.shared.draining.store(true, Ordering::Release);
        self.shared.send_to_control(ControlMessage::Leave);
        std::thread::sleep(LEAVE_DELAY.min(self.shared.settings.drain_timeout));
        self.gate.queue().drain();
        drop(self.callers);
        wait_until_quiet(&self.gate, self.shared.settings.drain_timeout);
        drop(self.announcements);
        if self.peer_server_stop.send(()).is_err() {
            log::warn!("the peers' server had stopped");
        }
        let drain_timeout = self.shared.settings.drain_timeout;
        let peer_server_end = async { tokio::time::timeout(drain_timeout, self.peer_server).await };
        if self.runtime.block_on(peer_server_end).is_err() {
            log::warn!(cut_off = !self.gate.queue().is_drained(); "the drain timeout passed");
        }
        self.runtime.shutdown_timeout(drain_timeout);
        self.shared.stopped.store(true, Ordering::Release);
        if self.control.send(ControlMessage::Stop).is_err() {
            log::warn!("the control thread had stopped");
        }
        for thread in self.threads {
            if thread.join().is_err() {
                log::error!("a thread panicked");
            }
        }
        drop(self.administration);
        log::info!("stopped");
    }
}

/// Waits until all calls are finished and none has arrived for [`QUIET_PERIOD`], or until `max_wait` is over.
///
/// The gate answers until then, so that an entry that does not know of the drain yet gets a refusal, after
/// which it may retry, and not a lost connection.
fn wait_until_quiet(gate: &Gate, max_wait: Duration) {
    let mut arrival_count = gate.arrival_count();
    let mut quiet_time = Duration::ZERO;
    let mut waited_time = Duration::ZERO;
    while waited_time < max_wait && (quiet_time < QUIET_PERIOD || !gate.queue().is_drained()) {
        std::thread::sleep(QUIET_POLL_INTERVAL);
        waited_time += QUIET_POLL_INTERVAL;
        let current_count = gate.arrival_count();
        quiet_time = if current_count == arrival_count {
            quiet_time + QUIET_POLL_INTERVAL
        } else {
            Duration::ZERO
        };
        arrival_count = current_count;
    }
}

/// Starts the gRPC server for peers, which stops gracefully once `stop_received` yields.
fn serve_peers(
    runtime: &Runtime,
    shared: &Arc<SharedState>,
    gate: &Arc<Gate>,
    stop_received: oneshot::Receiver<()>,
) -> Result<tokio::task::JoinHandle<()>, DaemonError> {
    let address = shared.settings.peers_address;
    let listener = runtime
        .block_on(TcpListener::bind(address))
        .map_err(|error| DaemonError::Listen {
            address: address.to_string(),
            cause: error.to_string(),
            purpose: "peers",
        })?;
    let service = PeerService {
        gate: Arc::clone(gate),
        shared: Arc::clone(shared),
    };
    let server = PeerServer::new(Arc::new(service), shared.key.clone());
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let serving = Server::builder()
        .http2_keepalive_interval(Some(Duration::from_secs(10)))
        .add_service(server)
        .serve_with_incoming_shutdown(incoming, async {
            let _ = stop_received.await;
        });
    let server_task = runtime.spawn(async {
        if let Err(error) = serving.await {
            log::error!(error = error.to_string().as_str(); "the peers' server stopped");
        }
    });
    log::debug!(max_message_bytes = MAX_MESSAGE_BYTES; "serving peers");
    Ok(server_task)
}

/// Builds the shared state. The incarnation is the start time in µs since the epoch, so a restart increases
/// it.
fn new_shared_state(
    settings: Settings,
    clock: Arc<dyn Clock>,
    control: Sender<ControlMessage>,
) -> Result<SharedState, DaemonError> {
    let since_epoch = clock.system_now().duration_since(SystemTime::UNIX_EPOCH);
    let started_us = since_epoch.unwrap_or_default().as_micros();
    let key = FleetKey::derive(&settings.fleet_key)
        .map_err(|error| DaemonError::Arguments(error.to_string()))?;
    let metrics = Metrics::new().map_err(|error| DaemonError::Thread(error.to_string()))?;
    Ok(SharedState {
        clock,
        control,
        directory: ArcSwap::from_pointee(Directory::default()),
        draining: AtomicBool::new(false),
        incarnation: Incarnation(u64::try_from(started_us).unwrap_or(u64::MAX)),
        key,
        local_upstream: LocalUpstream::default(),
        metrics,
        settings,
        snapshot: SnapshotHolder::default(),
        spread: ArcSwap::from_pointee(SpreadState::default()),
        stopped: AtomicBool::new(false),
    })
}

fn start_administration(
    shared: &Arc<SharedState>,
    decisions: Arc<CallDecisions>,
) -> Result<BoundedServer, DaemonError> {
    let administration = Arc::new(Administration {
        decisions,
        shared: Arc::clone(shared),
    });
    let address = shared.settings.administration_address;
    BoundedServer::start(
        "administration",
        address,
        AUXILIARY_WORKERS,
        AUXILIARY_CONNECT_INTERVAL,
        move |request| {
            administration.handle(request);
        },
    )
}

fn start_announcements(shared: &Arc<SharedState>) -> Result<BoundedServer, DaemonError> {
    let announcements = Arc::new(Announcements {
        shared: Arc::clone(shared),
    });
    let address = shared.settings.announcements_address;
    BoundedServer::start(
        "announcements",
        address,
        AUXILIARY_WORKERS,
        AUXILIARY_CONNECT_INTERVAL,
        move |request| {
            announcements.handle(request);
        },
    )
}

fn start_callers(shared: &Arc<SharedState>, entry: Entry) -> Result<BoundedServer, DaemonError> {
    let entry = Arc::new(entry);
    let address = shared.settings.callers_address;
    let workers = shared.settings.worker_threads + REFUSING_WORKERS;
    BoundedServer::start(
        "callers",
        address,
        workers,
        CALLERS_CONNECT_INTERVAL,
        move |request| {
            entry.handle(request);
        },
    )
}

fn start_runtime() -> Result<Runtime, DaemonError> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .map_err(|error| DaemonError::Thread(error.to_string()))
}
