use std::{
    cell::Cell,
    path::{Path, PathBuf},
    rc::Rc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use medlarspool_mesh::{MessageLimits, SiteSettings};
use tokio::{
    net::UdpSocket,
    signal::unix::{Signal, SignalKind, signal},
    sync::{Mutex, Notify},
    task::LocalSet,
    time::{sleep, timeout},
};

use crate::{
    EdgeError,
    administration::serve_operator,
    app::App,
    background_task::spawn_background,
    config_sync::{follow_peers, follow_store},
    confirmation_sync::{ask_peers, call_store_when_late},
    connection_pool::ConnectionPool,
    control::serve_target,
    core::Core,
    entry::serve_client,
    fault_injection::reach,
    fault_point::FaultPoint,
    gate_server::serve_peer,
    lease_rows::{keep_leases, release_leases},
    line_log::{self, LineLog},
    listen::{accept, listen},
    metrics::Metrics,
    node::Node,
    panic_hook::log_panics_of_this_thread,
    peer_sync::{keep_row, poll_daemon_rows, remove_row},
    probe::{confirm_limit, probe_target},
    readiness::serve_readiness,
    reports::receive_reports,
    response_buffers::ResponseBuffers,
    run_table::RunTable,
    server_connection::Handler,
    server_kind::ServerKind,
    status_rows::{follow_statuses, write_statuses},
    stop_phase::StopPhase,
    stop_times::StopTimes,
    store_client::StoreClient,
};

/// How long an idle connection to another daemon may be reused.
const MAX_PEER_IDLE_TIME: Duration = Duration::from_secs(30);

/// The most idle connections to one daemon: as many as an entry has requests in flight there.
const MAX_IDLE_PER_PEER: usize = 16;

/// How long an idle connection to the target may be reused: shorter than any usual idle timeout of a server.
const MAX_TARGET_IDLE_TIME: Duration = Duration::from_secs(4);

/// The most idle connections to the target.
const MAX_IDLE_TO_TARGET: usize = 64;

/// How long a planned stop accepts requests in any case: the platform checks once a second whether this
/// daemon is ready, and stops sending clients after two failed checks.
const STOP_LINGER: Duration = Duration::from_millis(2_300);

/// How long the gate is reported as serving in a planned stop. Its target can't be reached afterwards, so
/// this ends only just early enough for running requests to end within [`STOP_LINGER`].
const GATE_LINGER: Duration = Duration::from_millis(1_900);

/// The most of a short stop in which the gate is reported as serving.
const MAX_GATE_LINGER_SHARE: f64 = 0.5;

/// The interval at which a planned stop checks whether all work is done.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The longest wait until the last log lines are written, since nobody may be reading them.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// The interval between checks for the last log lines: the log's thread needs about a millisecond.
const LOG_FLUSH_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// The longest wait for the removal of this daemon's row from the store.
const ROW_REMOVAL_TIMEOUT: Duration = Duration::from_millis(200);

/// Checks the platform's settings file.
///
/// # Errors
///
/// Returns what is wrong with it.
pub fn check_site_settings(path: &Path) -> Result<(), EdgeError> {
    load_settings(path).map(|_| ())
}

/// Serves on the users' platform until a planned stop is complete.
///
/// # Errors
///
/// Returns why the daemon can't start.
pub fn run_site(path: &Path) -> Result<(), EdgeError> {
    LineLog::install(log::LevelFilter::Info);
    let _last_lines_guard = LastLinesGuard;
    log_panics_of_this_thread();
    let settings = load_settings(path)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(EdgeError::Runtime)?;
    LocalSet::new().block_on(&runtime, serve(settings, path.to_owned()))
}

/// Waits on drop until the lines about a panic that ends the daemon, or about requests that its end cuts off, are written.
struct LastLinesGuard;

impl Drop for LastLinesGuard {
    fn drop(&mut self) {
        line_log::wait_until_written(if std::thread::panicking() {
            line_log::MAX_PANIC_FLUSH_TIME
        } else {
            LOG_FLUSH_TIMEOUT
        });
    }
}

/// Serves as [`run_site`] does, with faults where `injects` returns true for a point and the id of a request.
///
/// # Errors
///
/// Returns why the daemon can't start.
#[cfg(feature = "fault-injection")]
pub fn run_site_with_faults(
    path: &Path,
    injects: impl Fn(crate::FaultPoint, &str) -> bool + 'static,
) -> Result<(), EdgeError> {
    crate::fault_injection::set_injector(Rc::new(injects));
    run_site(path)
}

fn load_settings(path: &Path) -> Result<SiteSettings, EdgeError> {
    let bytes = std::fs::read(path).map_err(|error| EdgeError::ReadSettings {
        path: path.into(),
        error,
    })?;
    medlarspool_adapter::decode_site_settings(&bytes).map_err(|error| EdgeError::Settings {
        path: path.into(),
        error,
    })
}

/// Starts the servers and the background tasks, and performs a planned stop after `SIGINT` or `SIGTERM`.
async fn serve(settings: SiteSettings, path: PathBuf) -> Result<(), EdgeError> {
    let mut terminate = signal(SignalKind::terminate()).map_err(EdgeError::Signal)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(EdgeError::Signal)?;
    let hangup = signal(SignalKind::hangup()).map_err(EdgeError::Signal)?;
    let app = build_app(&settings)?;
    log::info!(event = "start", instance = &*settings.instance, service = &*settings.service; "");
    let report_socket = receiving_socket(&app)?;
    app.core.start(app.clone());
    start_servers(&app)?;
    start_background_tasks(&app, &Rc::new(report_socket));
    let (settings_app, hangup) = (app.clone(), Rc::new(Mutex::new(hangup)));
    spawn_background("watch_settings", move || {
        watch_settings(settings_app.clone(), path.clone(), hangup.clone())
    });
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    stop(&app).await;
    Ok(())
}

/// Starts the tasks that go on for as long as the daemon runs, or until they have nothing more to do.
fn start_background_tasks(app: &Rc<App>, report_socket: &Rc<UdpSocket>) {
    macro_rules! spawn {
        ($task:ident) => {{
            let app = app.clone();
            spawn_background(stringify!($task), move || $task(app.clone()));
        }};
    }
    spawn!(follow_store);
    spawn!(follow_peers);
    spawn!(keep_row);
    spawn!(poll_daemon_rows);
    spawn!(keep_leases);
    spawn!(probe_target);
    spawn!(confirm_limit);
    if app.settings.revoke_after.is_some() {
        spawn!(ask_peers);
        spawn!(call_store_when_late);
    }
    if app.settings.rollouts.is_some() {
        spawn!(follow_statuses);
        spawn!(write_statuses);
    }
    spawn!(run_timers);
    let (app, report_socket) = (app.clone(), report_socket.clone());
    spawn_background("receive_reports", move || {
        receive_reports(app.clone(), report_socket.clone())
    });
}

async fn run_timers(app: Rc<App>) {
    app.core.run_timers().await;
}

/// Builds the shared state of the tasks; opens the socket on which reports are sent and received.
fn build_app(settings: &SiteSettings) -> Result<Rc<App>, EdgeError> {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    // A restarted daemon gets a greater incarnation, unless the clock was set back.
    let incarnation = u64::try_from(since_epoch.as_millis()).unwrap_or_default();
    let node = Node::new(settings.clone(), incarnation, Instant::now());
    let address = settings.peer_address;
    let report_socket = std::net::UdpSocket::bind(address)
        .and_then(|socket| socket.set_nonblocking(true).map(|()| socket))
        .map_err(|error| EdgeError::Listen { address, error })?;
    // This fails on every start or never, since the metrics are fixed.
    let metrics = Metrics::new().expect("the names of metrics differ");
    Ok(Rc::new(App {
        config_arrived: Notify::new(),
        config_behind: Notify::new(),
        confirmation_late: Notify::new(),
        core: Core::new(node),
        feed_overtaken: Notify::new(),
        in_flight: Cell::new(0),
        leases_changed: Notify::new(),
        leases_released: Notify::new(),
        limit_unconfirmed: Notify::new(),
        limits: Cell::new(MessageLimits::default()),
        metrics,
        peer_pool: ConnectionPool::new(MAX_PEER_IDLE_TIME, MAX_IDLE_PER_PEER),
        targets_changed: Notify::new(),
        report_socket,
        response_buffers: Rc::new(ResponseBuffers::new(settings.link_mbit_per_s)),
        credits_arrived: Notify::new(),
        row_changed: Notify::new(),
        row_was_written: Cell::new(false),
        rows_read: Notify::new(),
        runs: RunTable::default(),
        settings: settings.clone(),
        status_write_due: Notify::new(),
        stop_phase: Cell::new(StopPhase::Serving),
        stop_times: Cell::new(None),
        store: StoreClient::new(settings.store_address),
        store_needed: Notify::new(),
        target_pool: ConnectionPool::new(MAX_TARGET_IDLE_TIME, MAX_IDLE_TO_TARGET),
        rows_were_read: Cell::new(false),
        suspects_changed: Notify::new(),
    }))
}

/// Returns the socket for reports as a `tokio` socket that receives.
fn receiving_socket(app: &Rc<App>) -> Result<UdpSocket, EdgeError> {
    app.report_socket
        .try_clone()
        .and_then(UdpSocket::from_std)
        .map_err(|error| EdgeError::Listen {
            address: app.settings.peer_address,
            error,
        })
}

/// Starts the HTTP servers: readiness, the target's announcements, peers, operators and clients.
fn start_servers(app: &Rc<App>) -> Result<(), EdgeError> {
    macro_rules! handler {
        ($serve:path) => {{
            let app = app.clone();
            Rc::new(move |incoming| {
                let reply: std::pin::Pin<Box<dyn Future<Output = crate::reply::Reply>>> =
                    Box::pin($serve(app.clone(), incoming));
                reply
            }) as Handler
        }};
    }
    let settings = &app.settings;
    let servers: [(_, Handler, _); 5] = [
        (
            settings.readiness_address,
            handler!(serve_readiness),
            ServerKind::Local,
        ),
        (
            settings.control_address,
            handler!(serve_target),
            ServerKind::Local,
        ),
        (
            settings.peer_address,
            handler!(serve_peer),
            ServerKind::Peers,
        ),
        (
            settings.administration_address,
            handler!(serve_operator),
            ServerKind::Local,
        ),
        (
            settings.outbound_address,
            handler!(serve_client),
            ServerKind::Clients,
        ),
    ];
    for (address, handler, kind) in servers {
        let listener = Rc::new(listen(address)?);
        let app = app.clone();
        spawn_background("accept", move || {
            accept(app.clone(), listener.clone(), handler.clone(), kind)
        });
    }
    Ok(())
}

/// Reloads the settings file on each `SIGHUP`. Changes that a running daemon can't apply, such as those of
/// an address, take effect at its next start.
async fn watch_settings(app: Rc<App>, path: PathBuf, hangup: Rc<Mutex<Signal>>) {
    let mut hangup = hangup.lock().await;
    while hangup.recv().await.is_some() {
        match load_settings(&path) {
            Ok(settings) => {
                let all_applied = app.core.with(|node, _| node.apply_settings(&settings));
                log::info!(event = "settings-read", service = &*settings.service, needs_restart = !all_applied; "");
            }
            Err(error) => {
                log::error!(event = "settings-invalid", error = error.to_string().as_str(); "");
            }
        }
    }
}

/// Refuses the requests that wait, at the gate or for a target, as soon as they would start too late in a planned stop.
async fn refuse_late(app: Rc<App>) {
    loop {
        app.core.with(|node, _| node.refuse_late(&app));
        app.targets_changed.notify_waiters();
        sleep(STOP_CHECK_INTERVAL).await;
    }
}

/// Performs a planned stop: waits for the requests in flight, as far as the time for the stop allows.
async fn stop(app: &Rc<App>) {
    let started_at = Instant::now();
    log::info!(event = "stop", in_flight = app.in_flight.get(); "");
    let grace = app.core.with(|node, _| node.settings.grace);
    let times = StopTimes::new(started_at, grace);
    app.stop_times.set(Some(times));
    app.stop_phase.set(StopPhase::Stopping);
    reach(FaultPoint::Stop, "");
    let late_app = app.clone();
    spawn_background("refuse_late", move || refuse_late(late_app.clone()));
    sleep(GATE_LINGER.min(times.max_time.mul_f64(MAX_GATE_LINGER_SHARE))).await;
    app.stop_phase.set(StopPhase::Leaving);
    let has_no_target = app.core.with(|node, cx| {
        node.serving = false;
        node.schedule_report(cx);
        node.own_target.usable().is_none()
    });
    release_leases(app).await;
    let max_stop_time = times.max_time;
    let linger = STOP_LINGER.min(max_stop_time.saturating_sub(ROW_REMOVAL_TIMEOUT));
    sleep((started_at + linger).saturating_duration_since(Instant::now())).await;
    if has_no_target {
        // A row that remains is harmless, since other daemons skip a silent daemon.
        let _ = timeout(ROW_REMOVAL_TIMEOUT, remove_row(app)).await;
    }
    while app.in_flight.get() > 0 && started_at.elapsed() < max_stop_time {
        sleep(STOP_CHECK_INTERVAL).await;
    }
    log::info!(event = "stopped", in_flight = app.in_flight.get(); "");
    let last_line_at = Instant::now();
    // Waits until the log lines are written and until requests that arrived meanwhile are answered, each for a
    // limited time. No `await` may follow the last check of `in_flight`, or a request that arrived during it
    // would get no response.
    while (line_log::has_waiting() && last_line_at.elapsed() < LOG_FLUSH_TIMEOUT)
        || (app.in_flight.get() > 0 && started_at.elapsed() < max_stop_time)
    {
        sleep(LOG_FLUSH_CHECK_INTERVAL).await;
    }
    app.stop_phase.set(StopPhase::Stopped);
}
