use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread::JoinHandle,
    time::{Duration, Instant},
};

use medlarspool_daemon::PeriodicConnector;
use tiny_http::{Request, Response, Server};

use crate::{RunLedger, UpstreamBehaviour, UpstreamSettings};

/// The interval between two announcements of an upstream.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(2);

/// The interval at which [`PeriodicConnector`] connects to the server, so that no caller's connection stays
/// queued.
const CONNECT_INTERVAL: Duration = Duration::from_millis(50);

/// The longest time after which a thread notices that the upstream is stopping, and the interval between two
/// attempts to announce while the daemon doesn't accept the announcement.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// An upstream that counts how often it ran each request.
///
/// Requests are identified by their `x-request-id` header; those without it are not counted. `GET /runs/ID`
/// returns how often a request ran.
pub struct StandInUpstream {
    _connector: PeriodicConnector,
    state: Arc<State>,
    threads: Vec<JoinHandle<()>>,
}

struct State {
    is_draining: AtomicBool,
    in_flight: AtomicU32,
    ledger: Option<RunLedger>,
    incarnation: String,
    run_counts: Mutex<HashMap<String, u32>>,
    served: AtomicU32,
    settings: UpstreamSettings,
    is_stopping: AtomicBool,
}

impl StandInUpstream {
    /// Starts to serve requests and to announce the upstream to its daemon.
    ///
    /// # Errors
    ///
    /// Returns why the address can't be listened on or a thread can't be started.
    pub fn start(settings: UpstreamSettings) -> Result<Self, String> {
        let server = Server::http(settings.address).map_err(|error| error.to_string())?;
        let connector = PeriodicConnector::start(settings.address, CONNECT_INTERVAL)
            .map_err(|error| error.to_string())?;
        let worker_count = settings.slots * 2;
        let server = Arc::new(server);
        let state = Arc::new(State::new(settings)?);
        let mut threads = Vec::new();
        for _ in 0..worker_count {
            let (server, state) = (Arc::clone(&server), Arc::clone(&state));
            threads.push(spawn(move || state.serve(&server))?);
        }
        let announcer = Arc::clone(&state);
        threads.push(spawn(move || announcer.renew_announcements())?);
        Ok(Self {
            _connector: connector,
            state,
            threads,
        })
    }

    /// Returns how often each request ran, by its id.
    #[must_use]
    pub fn run_counts(&self) -> HashMap<String, u32> {
        self.state.lock_run_counts().clone()
    }

    /// Announces that the upstream is draining, still serves for `linger`, then finishes the running requests and
    /// stops.
    pub fn leave(self, linger: Duration) {
        self.state.is_draining.store(true, Ordering::Release);
        self.state.announce();
        std::thread::sleep(linger);
        while self.state.in_flight.load(Ordering::Acquire) > 0 {
            std::thread::sleep(STOP_CHECK_INTERVAL);
        }
        self.stop();
    }

    /// Stops without draining; returns when all threads have noticed it and ended.
    pub fn stop(self) {
        self.state.is_stopping.store(true, Ordering::Release);
        for thread in self.threads {
            if thread.join().is_err() {
                log::error!("a thread of the upstream panicked");
            }
        }
    }
}

impl State {
    fn new(settings: UpstreamSettings) -> Result<Self, String> {
        let ledger = settings.ledger.as_deref().map(RunLedger::open);
        Ok(Self {
            is_draining: AtomicBool::new(false),
            in_flight: AtomicU32::new(0),
            ledger: ledger.transpose()?,
            incarnation: format!("{}.{}", settings.name, std::process::id()),
            run_counts: Mutex::default(),
            served: AtomicU32::new(0),
            settings,
            is_stopping: AtomicBool::new(false),
        })
    }

    /// Sends one announcement; returns whether the daemon accepted it.
    fn announce(&self) -> bool {
        let settings = &self.settings;
        let announcement = serde_json::json!({
            "address": settings.address,
            "cold": matches!(settings.behaviour, UpstreamBehaviour::Cold(until) if self.served.load(Ordering::Relaxed) < until),
            "draining": self.is_draining.load(Ordering::Acquire),
            "service": settings.service,
            "slots": settings.slots,
        });
        let url = format!("http://{}/v1/upstream", settings.announcements_address);
        let sent = ureq::put(&url)
            .config()
            .timeout_global(Some(Duration::from_secs(1)))
            .build()
            .send(announcement.to_string());
        if let Err(error) = sent {
            log::debug!(error = error.to_string().as_str(); "the daemon did not accept the announcement");
            return false;
        }
        true
    }

    fn renew_announcements(&self) {
        while !self.is_stopping.load(Ordering::Acquire) {
            let interval = if self.announce() {
                RENEWAL_INTERVAL
            } else {
                STOP_CHECK_INTERVAL
            };
            let renewal = Instant::now() + interval;
            while Instant::now() < renewal && !self.is_stopping.load(Ordering::Acquire) {
                std::thread::sleep(STOP_CHECK_INTERVAL);
            }
        }
    }

    fn lock_run_counts(&self) -> std::sync::MutexGuard<'_, HashMap<String, u32>> {
        self.run_counts
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, server: &Server) {
        while !self.is_stopping.load(Ordering::Acquire) {
            if let Ok(Some(request)) = server.recv_timeout(STOP_CHECK_INTERVAL) {
                self.in_flight.fetch_add(1, Ordering::AcqRel);
                self.answer(request);
                self.in_flight.fetch_sub(1, Ordering::AcqRel);
            }
        }
    }

    /// Answers with a run count, or counts and runs the request. The run is counted first, since it may
    /// crash.
    fn answer(&self, mut request: Request) {
        if let Some(id) = request.url().strip_prefix("/runs/") {
            let runs = self.lock_run_counts().get(id).copied().unwrap_or(0);
            respond(request, 200, &runs.to_string());
            return;
        }
        self.count_run(&request);
        let is_crashing = self.settings.behaviour == UpstreamBehaviour::Crashing;
        if is_crashing && request.url().starts_with("/crash") {
            std::process::abort();
        }
        let served = self.served.fetch_add(1, Ordering::Relaxed);
        self.wait_service_time(served);
        let mut body = String::new();
        if request.as_reader().read_to_string(&mut body).is_err() {
            respond(request, 400, "the body is no text");
            return;
        }
        let text = format!("{} {} {body}\n", self.settings.name, request.url());
        respond(request, 200, &text);
    }

    fn count_run(&self, request: &Request) {
        let id = request
            .headers()
            .iter()
            .find(|header| header.field.equiv("x-request-id"));
        if let Some(id) = id {
            if let Some(ledger) = &self.ledger {
                ledger.record(id.value.as_str(), &self.incarnation);
            }
            *self
                .lock_run_counts()
                .entry(id.value.to_string())
                .or_default() += 1;
        }
    }

    fn wait_service_time(&self, served: u32) {
        let behaviour = self.settings.behaviour;
        let deadline = Instant::now() + behaviour.service_time(self.settings.service_time, served);
        while !self.is_stopping.load(Ordering::Acquire) {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return;
            }
            std::thread::sleep(remaining.min(STOP_CHECK_INTERVAL));
        }
    }
}

fn respond(request: Request, status: u16, text: &str) {
    let response = Response::from_string(text).with_status_code(status);
    if let Err(error) = request.respond(response) {
        log::debug!(error = error.to_string().as_str(); "the answer could not be sent");
    }
}

fn spawn(body: impl FnOnce() + Send + 'static) -> Result<JoinHandle<()>, String> {
    std::thread::Builder::new()
        .name("stand-in-upstream".into())
        .spawn(body)
        .map_err(|error| error.to_string())
}
