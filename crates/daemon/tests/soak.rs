//! A randomized soak test of the real program. Its faults are signals, links that delay bytes, reset connections, or
//! block one direction or both, a store that becomes silent or comes back from an older copy, changes of the
//! configuration, and targets that name a limit.
//!
//! `MEDLARSPOOL_SOAK_SEEDS=FIRST..LAST cargo test -p medlarspool-daemon --test soak` runs other seeds.

#[allow(dead_code)]
#[path = "../../../platform/tests/stand_in/mod.rs"]
mod stand_in;

#[allow(dead_code)]
mod site_process;

#[path = "../../../platform/tests/stand_in/proxy.rs"]
mod proxy;

use std::{
    collections::HashMap,
    net::{IpAddr, SocketAddr},
    process::{Child, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use proxy::{LinkFault, Proxy};
use site_process::spawn;
use stand_in::{
    daemon::{Daemon, FAST_LINK_MBPS, base64, config, request, settings_file, wait_until},
    message::round_trip,
    store::{Rows, Store},
    target::{Behaviour, Target},
};

const DAEMON_COUNT: u8 = 4;
const FAULT_COUNT: usize = 12;
const CLIENT_COUNT: usize = 4;

/// How long a link fault lasts; a process is suspended for three times as long.
const FAULT_DURATION: Duration = Duration::from_millis(500);

/// The limits that targets name, in requests per second.
const LIMITS_PER_S: [f64; 3] = [0.0, 0.5, 10.0];

/// The time over which arrivals are compared with a limit.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// How long after the last fault every daemon must serve requests again.
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(15);

/// A daemon as a child process, with the proxied links to its store and its target.
struct Process {
    child: Child,
    daemon: Daemon,
    settings: tempfile::NamedTempFile,
    store_link: Proxy,
    target_link: Proxy,
}

impl Process {
    fn start(subnet: u8, host: u8, store: SocketAddr) -> Self {
        let ip = IpAddr::from([127, 78, subnet, host]);
        let address = |port| SocketAddr::new(ip, port);
        let target = Target::start(
            address(18_331),
            &format!("i-{ip}"),
            Behaviour::SendsWholeAfterMs(5),
        );
        let store_link = Proxy::start(address(18_309), store);
        let target_link = Proxy::start(address(18_301), address(18_331));
        let settings = settings_file(ip, address(18_309), 18_301, "skymap", FAST_LINK_MBPS);
        let child = spawn(&settings, Stdio::null());
        Self {
            child,
            daemon: Daemon { ip, target },
            settings,
            store_link,
            target_link,
        }
    }

    fn signal(&self, name: &str) {
        site_process::signal(&self.child, name);
    }

    fn restart(&mut self) {
        self.child.wait().unwrap();
        self.child = spawn(&self.settings, Stdio::null());
    }

    /// Restarts the process if a signal ended it, as the platform does; an exit of its own fails the test.
    ///
    /// Until the process has installed its signal handlers, any signal ends it.
    fn keep_running(&mut self, seed: u64) {
        if let Some(status) = self.child.try_wait().unwrap() {
            assert_eq!(status.code(), None, "seed {seed}: a daemon ended by itself");
            self.child = spawn(&self.settings, Stdio::null());
        }
    }

    /// Draws a fault and waits until it is over: the process is killed, stopped as planned, suspended or sent
    /// a SIGHUP, or one of its links fails for [`FAULT_DURATION`].
    fn inject_fault(&mut self, random: &mut fastrand::Rng) {
        let link_faults = [
            LinkFault::BlocksAnswers,
            LinkFault::BlocksRequests,
            LinkFault::DelaysByMs(30),
            LinkFault::Resets,
            LinkFault::Silent,
        ];
        match random.u8(..6) {
            0 => {
                self.child.kill().unwrap();
                self.restart();
            }
            1 => {
                self.signal("-TERM");
                self.restart();
            }
            2 => {
                self.signal("-STOP");
                thread::sleep(FAULT_DURATION * 3);
                self.signal("-CONT");
            }
            3 => self.signal("-HUP"),
            draw => {
                let link = if draw == 4 {
                    &self.store_link
                } else {
                    &self.target_link
                };
                link.set(link_faults[random.usize(..link_faults.len())]);
                thread::sleep(FAULT_DURATION);
                link.set(LinkFault::None);
            }
        }
    }
}

/// The store and the operator, whose faults and changes concern the whole fleet.
struct Platform {
    /// An earlier copy of the store, from which it may come back.
    copy: Rows,
    era: u64,
    /// The version that the operator wrote last.
    newest_version: u64,
    random: fastrand::Rng,
    store: Store,
}

impl Platform {
    fn start(address: SocketAddr, seed: u64) -> Self {
        let store = Store::start(address);
        let mut platform = Self {
            copy: Rows::default(),
            era: 1,
            newest_version: 0,
            random: fastrand::Rng::with_seed(seed),
            store,
        };
        *platform.store.era.lock().unwrap() = platform.era.to_string();
        platform.put_next_version();
        platform
    }

    fn put_next_version(&mut self) {
        self.newest_version += 1;
        self.put_newest_version();
    }

    fn put_newest_version(&self) {
        let text = config(self.newest_version, "skymap");
        self.store.put("op", "config", &base64(text.as_bytes()));
    }

    /// Draws a change of the configuration, a fault of the store, a limit of a target, or none of these.
    fn inject_fault(&mut self, fleet: &[Process]) {
        // What a drill lost of the operator's rows is written again.
        self.put_newest_version();
        match self.random.u8(..6) {
            0 => self.put_next_version(),
            1 => self.store.silence_open_connections(),
            2 => {
                self.era += 1;
                self.store.restore(self.copy.clone(), &self.era.to_string());
            }
            3 => self.copy = self.store.copy(),
            4 => {
                let target = &fleet[self.random.usize(..fleet.len())].daemon.target;
                assert_limit_holds(
                    target,
                    LIMITS_PER_S[self.random.usize(..LIMITS_PER_S.len())],
                );
            }
            _ => {}
        }
    }
}

/// Has a target name a limit for a while, and checks that no more requests arrive.
fn assert_limit_holds(target: &Target, requests_per_s: f64) {
    *target.own_headers.lock().unwrap() = format!("Server-Limit: {requests_per_s}\r\n");
    thread::sleep(Duration::from_secs(1));
    let since = Instant::now();
    thread::sleep(LIMIT_WINDOW);
    let arrivals = target.arrivals.lock().unwrap();
    let count = arrivals.iter().filter(|at| **at >= since).count();
    target.own_headers.lock().unwrap().clear();
    // The users' bound.
    let allowed = 1.5 * requests_per_s * LIMIT_WINDOW.as_secs_f64() + 5.0;
    #[allow(clippy::cast_precision_loss)]
    let is_within = count as f64 <= allowed;
    assert!(is_within, "{count} arrivals, {allowed} allowed");
}

/// The latest version that each daemon had in force, with its incarnation.
#[derive(Default)]
struct VersionsInForce(HashMap<SocketAddr, (u64, u64)>);

impl VersionsInForce {
    /// Checks that no daemon went back to an older version in one incarnation. Daemons that don't answer are skipped.
    fn check(&mut self, fleet: &[Process], seed: u64) {
        for process in fleet {
            let address = process.daemon.address(18_319);
            let text = "GET /dump HTTP/1.1\r\nHost: x\r\n\r\n";
            let Some(dump) = round_trip(address, text) else {
                continue;
            };
            let dump: serde_json::Value = serde_json::from_slice(&dump.body).unwrap();
            let incarnation = dump["incarnation"].as_u64().unwrap();
            let version = dump["config_version"].as_u64().unwrap_or_default();
            let (known_incarnation, known_version) = self
                .0
                .insert(address, (incarnation, version))
                .unwrap_or_default();
            assert!(
                incarnation != known_incarnation || version >= known_version,
                "seed {seed}: {address} went back from version {known_version} to {version}"
            );
        }
    }

    fn all_are(&self, version: u64, daemon_count: usize) -> bool {
        self.0.len() == daemon_count && self.0.values().all(|(_, known)| *known == version)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Fails if the process has ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The status of each request by its id, with a `w` before the ids of writes; 0 stands for no answer.
type Statuses = Arc<Mutex<HashMap<String, u16>>>;

/// Sends reads and writes to random daemons until `stopped` is set, checks each answer of status 200 and
/// records every request's status.
fn send_requests(
    addresses: &[SocketAddr],
    seed: u64,
    sent_count: &AtomicU64,
    stopped: &AtomicBool,
    statuses: &Statuses,
) {
    let mut random = fastrand::Rng::with_seed(seed);
    while !stopped.load(Ordering::SeqCst) {
        let id = format!("r{}", sent_count.fetch_add(1, Ordering::SeqCst));
        let is_write = random.bool();
        let text = if is_write {
            request("PUT", "/write/", &id)
        } else {
            request("GET", "/read/", &id)
        };
        let answer = round_trip(addresses[random.usize(..addresses.len())], &text);
        if let Some(answer) = answer.as_ref().filter(|answer| answer.status() == 200) {
            assert_eq!(answer.header("Request-Id"), Some(id.as_str()));
            assert!(
                answer.body.ends_with(format!("ran {id}").as_bytes()),
                "{answer:?}"
            );
        }
        let key_prefix = if is_write { "w" } else { "" };
        let status = answer.map_or(0, |answer| answer.status());
        statuses
            .lock()
            .unwrap()
            .insert(format!("{key_prefix}{id}"), status);
        thread::sleep(Duration::from_millis(10));
    }
}

/// Stops the clients when it is dropped. After a failed check the thread scope would otherwise wait for them
/// for ever.
struct StopClients<'a>(&'a AtomicBool);

impl Drop for StopClients<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Injects random faults into a fleet under load, waits until every daemon serves requests again, then checks
/// what ran.
fn soak(subnet: u8, seed: u64) {
    let mut random = fastrand::Rng::with_seed(seed);
    let store_address = SocketAddr::from(([127, 78, subnet, 250], 18_309));
    let mut platform = Platform::start(store_address, seed);
    let mut versions = VersionsInForce::default();
    let mut fleet: Vec<Process> = (1..=DAEMON_COUNT)
        .map(|host| Process::start(subnet, host, store_address))
        .collect();
    for process in &fleet {
        wait_until("readiness", || process.daemon.readiness() == 200);
        assert_eq!(process.daemon.heartbeat("skymap", "ready", 1), 200);
    }
    let addresses: Vec<SocketAddr> = fleet
        .iter()
        .map(|process| process.daemon.outbound())
        .collect();
    let is_served = |address: SocketAddr| {
        round_trip(address, &request("GET", "/read/", "probe"))
            .is_some_and(|answer| answer.status() == 200)
    };
    for address in &addresses {
        wait_until("service", || is_served(*address));
    }
    let (sent_count, stopped, statuses) = (
        AtomicU64::new(0),
        AtomicBool::new(false),
        Statuses::default(),
    );
    thread::scope(|scope| {
        let _stop_clients = StopClients(&stopped);
        for client_index in 0..CLIENT_COUNT {
            let (addresses, sent_count, stopped, statuses) =
                (&addresses, &sent_count, &stopped, &statuses);
            let client_seed = seed * 100 + client_index as u64;
            scope.spawn(move || {
                send_requests(addresses, client_seed, sent_count, stopped, statuses);
            });
        }
        for _ in 0..FAULT_COUNT {
            platform.inject_fault(&fleet);
            versions.check(&fleet, seed);
            let index = random.usize(..fleet.len());
            fleet[index].inject_fault(&mut random);
            fleet[index].keep_running(seed);
        }
        platform.put_next_version();
        let recovery_deadline = Instant::now() + MAX_RECOVERY_TIME;
        let all_served = || {
            addresses
                .iter()
                .all(|address| (0..5).all(|_| is_served(*address)))
        };
        while !all_served() {
            for process in &mut fleet {
                process.keep_running(seed);
            }
            assert!(
                Instant::now() < recovery_deadline,
                "seed {seed}: not served again in {MAX_RECOVERY_TIME:?}"
            );
        }
        versions.check(&fleet, seed);
        while !versions.all_are(platform.newest_version, fleet.len()) {
            assert!(
                Instant::now() < recovery_deadline,
                "seed {seed}: version {} is not in force in {MAX_RECOVERY_TIME:?}: {:?}",
                platform.newest_version,
                versions.0
            );
            thread::sleep(Duration::from_millis(100));
            versions.check(&fleet, seed);
        }
    });
    thread::sleep(Duration::from_secs(2));
    check_runs(&fleet, &statuses.lock().unwrap(), seed);
}

/// Checks that no write ran twice, that no write ran whose answer said "not run", and that most requests were
/// served.
fn check_runs(fleet: &[Process], statuses: &HashMap<String, u16>, seed: u64) {
    let mut runs: HashMap<String, usize> = HashMap::new();
    for process in fleet {
        for run in process.daemon.target.runs.lock().unwrap().iter() {
            let id = run.header("Request-Id").unwrap_or_default().to_owned();
            *runs.entry(id).or_default() += 1;
        }
    }
    let mut served_count = 0;
    for (id, status) in statuses {
        served_count += usize::from(*status == 200);
        let Some(id) = id.strip_prefix('w') else {
            continue;
        };
        let run_count = runs.get(id).copied().unwrap_or_default();
        assert!(run_count <= 1, "seed {seed}: {id} ran {run_count} times");
        if *status == 503 {
            assert_eq!(
                run_count, 0,
                "seed {seed}: {id} ran, but its answer said `not run`"
            );
        }
    }
    assert!(
        served_count * 2 > statuses.len(),
        "seed {seed}: {served_count} of {} served",
        statuses.len()
    );
}

#[test]
fn promises_hold_under_random_faults() {
    let seeds = std::env::var("MEDLARSPOOL_SOAK_SEEDS").unwrap_or_else(|_| "1..3".into());
    let (first, last) = seeds.split_once("..").expect("FIRST..LAST");
    let seeds = first.parse::<u64>().unwrap()..last.parse::<u64>().unwrap();
    for (subnet, seed) in (1..).zip(seeds) {
        soak(subnet, seed);
        println!("seed {seed}: held");
    }
}
