use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
        mpsc::{self, Sender},
    },
    thread::JoinHandle,
    time::{Duration, SystemTime},
};

use arc_swap::ArcSwap;
use medlarspool_platform::Platform;
use medlarspool_proto::{FleetKey, MAX_MESSAGE_BYTES, PeerServer};
use medlarspool_spread::SnapshotHolder;
use medlarspool_types::{Clock, ConfigHead, Incarnation};
use tokio::{
    net::TcpListener,
    runtime::{Handle, Runtime},
    sync::oneshot,
};
use tonic::transport::{Server, server::TcpIncoming};

use crate::{
    DaemonError, Settings, administration::Administration, announcements::Announcements,
    bounded_server::BoundedServer, control::Control, control_message::ControlMessage,
    datagram_socket::DatagramSocket, directory::Directory, entry::Entry, gate::Gate,
    local_upstream::LocalUpstream, metrics::Metrics, peer_edge::PeerEdge, peer_pool::PeerPool,
    platform_worker::PlatformWorker, shared::Shared, spread_state::SpreadState,
};

/// Workers of the administration and the announcement servers.
const SIDE_WORKERS: usize = 2;

/// How long a leaving daemon stays reachable, so that peers hear of it before they are refused.
const LEAVE_LINGER: Duration = Duration::from_secs(1);

/// A running daemon.
pub struct Daemon {
    administration: BoundedServer,
    announcements: BoundedServer,
    callers: BoundedServer,
    control: Sender<ControlMessage>,
    peers_stop: oneshot::Sender<()>,
    runtime: Runtime,
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl Daemon {
    /// Starts all threads of a daemon.
    ///
    /// # Errors
    ///
    /// Returns which address can't be listened on, or which thread can't be started.
    pub fn start(
        settings: Settings,
        platform: Arc<dyn Platform>,
        clock: Arc<dyn Clock>,
    ) -> Result<Self, DaemonError> {
        let (control, control_messages) = mpsc::channel();
        let shared = Arc::new(share(settings, clock, control.clone())?);
        let runtime = start_runtime()?;
        let gate = Arc::new(Gate::new(Arc::clone(&shared)));
        let (jobs, job_queue) = mpsc::channel();
        let socket = Arc::new(DatagramSocket::bind(Arc::clone(&shared))?);
        let threads = vec![
            Arc::clone(&socket).receive(control.clone())?,
            PlatformWorker::start(Arc::clone(&shared), platform, control.clone(), job_queue)?,
            Control::start(
                Arc::clone(&shared),
                socket,
                jobs,
                runtime.handle().clone(),
                control_messages,
            )?,
        ];
        let (peers_stop, stopped) = oneshot::channel();
        serve_peers(&runtime, &shared, &gate, stopped)?;
        let daemon = Self {
            administration: start_administration(&shared)?,
            announcements: start_announcements(&shared)?,
            callers: start_callers(&shared, gate, runtime.handle())?,
            control,
            peers_stop,
            runtime,
            shared,
            threads,
        };
        log::info!(instance = daemon.shared.settings.instance.as_str(); "serving");
        Ok(daemon)
    }

    /// Returns the head of the configuration in use, or version 0 before the first.
    #[must_use]
    pub fn held(&self) -> ConfigHead {
        self.shared.held()
    }

    /// Returns the runtime that the daemon's connections live on.
    #[must_use]
    pub fn runtime(&self) -> &Runtime {
        &self.runtime
    }

    /// Stops as planned: takes no new work, finishes what is in flight, then returns.
    pub fn stop(self) {
        log::info!("draining");
        self.shared.draining.store(true, Ordering::Release);
        self.shared.tell_control(ControlMessage::Leave);
        std::thread::sleep(LEAVE_LINGER.min(self.shared.settings.drain_timeout));
        drop(self.callers);
        drop(self.announcements);
        if self.peers_stop.send(()).is_err() {
            log::warn!("the peers' server had stopped");
        }
        self.runtime
            .shutdown_timeout(self.shared.settings.drain_timeout);
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

fn serve_peers(
    runtime: &Runtime,
    shared: &Arc<Shared>,
    gate: &Arc<Gate>,
    stopped: oneshot::Receiver<()>,
) -> Result<(), DaemonError> {
    let address = shared.settings.peers_address;
    let listener = runtime
        .block_on(TcpListener::bind(address))
        .map_err(|error| DaemonError::Listen {
            address: address.to_string(),
            cause: error.to_string(),
            purpose: "peers",
        })?;
    let edge = PeerEdge {
        gate: Arc::clone(gate),
        shared: Arc::clone(shared),
    };
    let server = PeerServer::new(Arc::new(edge), shared.key.clone());
    let incoming = TcpIncoming::from(listener).with_nodelay(Some(true));
    let serving = Server::builder()
        .http2_keepalive_interval(Some(Duration::from_secs(10)))
        .add_service(server)
        .serve_with_incoming_shutdown(incoming, async {
            let _ = stopped.await;
        });
    runtime.spawn(async {
        if let Err(error) = serving.await {
            log::error!(error = error.to_string().as_str(); "the peers' server stopped");
        }
    });
    log::debug!(max_message_bytes = MAX_MESSAGE_BYTES; "serving peers");
    Ok(())
}

fn share(
    settings: Settings,
    clock: Arc<dyn Clock>,
    control: Sender<ControlMessage>,
) -> Result<Shared, DaemonError> {
    let started = clock.system_now().duration_since(SystemTime::UNIX_EPOCH);
    let started_us = started.unwrap_or_default().as_micros();
    let key = FleetKey::derive(&settings.fleet_key)
        .map_err(|error| DaemonError::Arguments(error.to_string()))?;
    let metrics = Metrics::new().map_err(|error| DaemonError::Thread(error.to_string()))?;
    Ok(Shared {
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

fn start_administration(shared: &Arc<Shared>) -> Result<BoundedServer, DaemonError> {
    let administration = Arc::new(Administration {
        shared: Arc::clone(shared),
    });
    let address = shared.settings.administration_address;
    BoundedServer::start("administration", address, SIDE_WORKERS, move |request| {
        administration.handle(request);
    })
}

fn start_announcements(shared: &Arc<Shared>) -> Result<BoundedServer, DaemonError> {
    let announcements = Arc::new(Announcements {
        shared: Arc::clone(shared),
    });
    let address = shared.settings.announcements_address;
    BoundedServer::start("announcements", address, SIDE_WORKERS, move |request| {
        announcements.handle(request);
    })
}

fn start_callers(
    shared: &Arc<Shared>,
    gate: Arc<Gate>,
    runtime: &Handle,
) -> Result<BoundedServer, DaemonError> {
    let entry = Arc::new(Entry {
        gate,
        peers: PeerPool::new(shared.key.clone(), runtime.clone()),
        random: Mutex::new(fastrand::Rng::with_seed(shared.incarnation.0)),
        runtime: runtime.clone(),
        shared: Arc::clone(shared),
    });
    let address = shared.settings.callers_address;
    let workers = shared.settings.worker_threads;
    BoundedServer::start("callers", address, workers, move |request| {
        entry.handle(request);
    })
}

fn start_runtime() -> Result<Runtime, DaemonError> {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .map_err(|error| DaemonError::Thread(error.to_string()))
}
