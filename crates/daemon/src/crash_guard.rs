use std::{
    io::ErrorKind,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use medlarspool_calls::{
    CallSettings, CrashId, CrashPublication, Fingerprint, Quarantine, QuarantineCheck,
    QuarantineNotice,
};
use medlarspool_proto::{CallReply, CrashNotice, Refusal};
use medlarspool_types::{InstanceId, ServiceName, Verdict};
use tokio::task::JoinSet;

use crate::{
    crash_codec, peer_pool::PeerPool, shared_state::SharedState, upstream_record::UpstreamRecord,
};

/// The timeout of one probe of an upstream that lost a connection; only a refused connection proves a crash.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// The pause between two probes.
const PROBE_INTERVAL: Duration = Duration::from_millis(20);

/// The number of probes without a refused connection after which an upstream counts as alive.
const PROBE_ATTEMPTS: usize = 8;

/// The retry delay of a suspect that can't run at this gate now, because another suspect runs here or because
/// only another gate may run it.
const BUSY_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Keeps requests that crash upstreams away from the upstream beside this daemon, and notifies the service's
/// other gates of crashes.
pub(crate) struct CrashGuard {
    peers: Arc<PeerPool>,
    settings: CallSettings,
    shared: Arc<SharedState>,
    state: Mutex<State>,
}

struct State {
    quarantine: Quarantine,
    running: Vec<RunningRequest>,
    /// The number of the upstream's incarnation; each crash that is recorded increases it.
    upstream_incarnation: u64,
}

/// A request that the upstream runs, and the incarnation of the upstream that runs it.
#[derive(Clone, Copy)]
pub(crate) struct RunningRequest {
    fingerprint: Fingerprint,
    upstream_incarnation: u64,
}

impl CrashGuard {
    pub(crate) fn new(
        shared: Arc<SharedState>,
        settings: &CallSettings,
        peers: Arc<PeerPool>,
    ) -> Self {
        let quarantine = Quarantine::new(settings, shared.settings.instance.clone());
        Self {
            peers,
            settings: settings.clone(),
            state: Mutex::new(State {
                quarantine,
                running: Vec::new(),
                upstream_incarnation: shared.incarnation.0,
            }),
            shared,
        }
    }

    /// Registers a request that is about to run. Refuses a quarantined one, and a suspect that may not run at
    /// this gate now.
    pub(crate) fn begin(
        &self,
        fingerprint: Fingerprint,
        service: &ServiceName,
    ) -> Result<RunningRequest, Box<CallReply>> {
        let gates = self.service_gates(service);
        let mut state = self.lock();
        match state
            .quarantine
            .check(self.shared.clock.now(), fingerprint, &gates)
        {
            QuarantineCheck::Admit => {}
            QuarantineCheck::AdmitSuspect => state.quarantine.start_suspect(fingerprint),
            QuarantineCheck::Busy | QuarantineCheck::Redirect(_) => {
                return Err(refused(Refusal::Suspected, BUSY_RETRY_AFTER));
            }
            QuarantineCheck::Refuse { retry_after } => {
                return Err(refused(Refusal::Quarantined, retry_after));
            }
        }
        let running = RunningRequest {
            fingerprint,
            upstream_incarnation: state.upstream_incarnation,
        };
        state.running.push(running);
        Ok(running)
    }

    /// Records that a run ended without a crash. If an answer cleared a suspect, returns the notice that
    /// clears it at the other gates.
    pub(crate) fn end(&self, running: RunningRequest, answered: bool) -> Option<QuarantineNotice> {
        let mut state = self.lock();
        state.remove_running(running);
        let now = self.shared.clock.now();
        state.quarantine.finish(now, running.fingerprint, answered)
    }

    /// Records that a run lost its connection. If the upstream has crashed, all requests that it ran become
    /// suspects, and the notice for the other gates is returned, once for each crash.
    pub(crate) fn connection_lost(
        &self,
        running: RunningRequest,
        upstream: SocketAddr,
    ) -> Option<QuarantineNotice> {
        let has_crashed = refuses_connections(upstream);
        let mut state = self.lock();
        let is_first_report =
            has_crashed && running.upstream_incarnation == state.upstream_incarnation;
        let notice = is_first_report.then(|| self.record_upstream_crash(&mut state));
        state.remove_running(running);
        state
            .quarantine
            .finish(self.shared.clock.now(), running.fingerprint, false);
        notice
    }

    /// Records the notice of another gate; a malformed one is ignored.
    pub(crate) fn receive(&self, notice: &CrashNotice) {
        if let Some(notice) = crash_codec::notice(notice) {
            let mut state = self.lock();
            state.quarantine.receive(self.shared.clock.now(), &notice);
            self.update_gauge(&state);
        }
    }

    /// Sends a notice to the service's other gates, and returns when all have confirmed it or the settings'
    /// `crash_publish_timeout` is over.
    pub(crate) async fn publish(&self, notice: &QuarantineNotice, service: &ServiceName) {
        let other_gates = self.other_gates(service);
        let timeout = self.settings.crash_publish_timeout;
        let instances = other_gates.iter().map(|other| other.instance.clone());
        let mut publication = CrashPublication::new(self.shared.clock.now(), timeout, instances);
        let notice = crash_codec::wire_notice(notice);
        let mut sends = JoinSet::new();
        for other in other_gates {
            sends.spawn(send_notice(
                Arc::clone(&self.peers),
                other,
                notice.clone(),
                timeout,
            ));
        }
        while !publication.is_done(self.shared.clock.now()) {
            match tokio::time::timeout(timeout, sends.join_next()).await {
                Ok(Some(Ok(Some(instance)))) => publication.confirm(&instance),
                Ok(Some(_)) => {}
                Ok(None) | Err(_) => return,
            }
        }
    }

    /// Begins a new incarnation of the upstream and makes all requests that the crashed one ran suspects.
    fn record_upstream_crash(&self, state: &mut State) -> QuarantineNotice {
        let incarnation = state.upstream_incarnation;
        state.upstream_incarnation += 1;
        let fingerprints: Vec<Fingerprint> = state
            .running
            .iter()
            .filter(|run| run.upstream_incarnation == incarnation)
            .map(|run| run.fingerprint)
            .collect();
        log::warn!(requests = fingerprints.len(); "the upstream crashed");
        let crash = CrashId {
            instance: self.shared.settings.instance.clone(),
            number: incarnation,
        };
        let now = self.shared.clock.now();
        let notice = state.quarantine.record_crash(now, crash, &fingerprints);
        self.update_gauge(state);
        notice
    }

    /// Updates the metric of the requests known to have run when an upstream crashed.
    fn update_gauge(&self, state: &State) {
        let crash_suspect_count = i64::try_from(state.quarantine.len()).unwrap_or(i64::MAX);
        self.shared.metrics.crash_suspects.set(crash_suspect_count);
    }

    /// Returns the instances of all gates of a service, this one included.
    fn service_gates(&self, service: &ServiceName) -> Vec<InstanceId> {
        let other_gates = self.other_gates(service).into_iter();
        let own = self.shared.settings.instance.clone();
        other_gates
            .map(|other| other.instance)
            .chain([own])
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn other_gates(&self, service: &ServiceName) -> Vec<UpstreamRecord> {
        let own = &self.shared.settings.instance;
        let directory = self.shared.directory.load();
        let upstreams = directory.upstreams(service).iter();
        upstreams
            .filter(|other| other.instance != *own)
            .cloned()
            .collect()
    }
}

impl State {
    fn remove_running(&mut self, ended: RunningRequest) {
        let is_same = |run: &RunningRequest| {
            run.fingerprint == ended.fingerprint
                && run.upstream_incarnation == ended.upstream_incarnation
        };
        if let Some(index) = self.running.iter().position(is_same) {
            self.running.swap_remove(index);
        }
    }
}

/// Returns whether the upstream refuses connections, which distinguishes a crash from a merely lost
/// connection.
///
/// An ending process closes its connections before its listening socket, so that a first probe may still be
/// accepted. Hence there are several.
fn refuses_connections(upstream: SocketAddr) -> bool {
    (0..PROBE_ATTEMPTS).any(|_| {
        let probe = TcpStream::connect_timeout(&upstream, PROBE_TIMEOUT);
        let refused = |error: std::io::Error| error.kind() == ErrorKind::ConnectionRefused;
        let is_refused = probe.is_err_and(refused);
        if !is_refused {
            std::thread::sleep(PROBE_INTERVAL);
        }
        is_refused
    })
}

fn refused(refusal: Refusal, retry_after: Duration) -> Box<CallReply> {
    Box::new(CallReply {
        retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
        ..CallReply::refused(Verdict::NotRun, refusal)
    })
}

/// Returns the gate's instance if it confirmed the notice.
async fn send_notice(
    peers: Arc<PeerPool>,
    other: UpstreamRecord,
    notice: CrashNotice,
    timeout: Duration,
) -> Option<InstanceId> {
    let connection = peers.connection(other.gate_address).await.ok()?;
    if connection.client.crash(notice, timeout).await.is_ok() {
        return Some(other.instance);
    }
    peers.discard(other.gate_address, connection.channel).await;
    None
}
