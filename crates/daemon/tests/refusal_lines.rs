//! For each way in which a request fails, the log line that gives the reason.

#[allow(dead_code)]
#[path = "../../../platform/tests/stand_in/mod.rs"]
mod stand_in;

mod fake_peer;

#[allow(dead_code)]
mod site_process;

use std::{
    net::{IpAddr, SocketAddr, TcpListener},
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::Duration,
};

use fake_peer::FakePeer;
use medlarspool_mesh::{CrashEvidence, ReportedCrash};
use rstest::rstest;
use site_process::SiteProcess;
use stand_in::{
    daemon::{base64, config, request, wait_until},
    message::Client,
    store::Store,
    target::Behaviour,
};

/// The requests that a test sends.
#[derive(Clone, Copy)]
enum RequestKind {
    /// One read.
    Read,
    /// So many reads at once that most can't be served before their deadline.
    ReadsAtOnce,
    /// One read of a path without a route.
    UnknownPath,
    /// One write.
    Write,
}

impl RequestKind {
    const fn method_path_count(self) -> (&'static str, &'static str, usize) {
        match self {
            Self::Read => ("GET", "/read/", 1),
            Self::ReadsAtOnce => ("GET", "/read/", 60),
            Self::UnknownPath => ("GET", "/none/", 1),
            Self::Write => ("PUT", "/write/", 1),
        }
    }
}

/// Starts a daemon in `subnet` whose target serves `served_service`, sends the requests and returns its log.
///
/// With `None` the store is down and the target is not announced, so that the daemon has no configuration.
fn log_of(
    subnet: u8,
    served_service: Option<&str>,
    behaviour: Behaviour,
    kind: RequestKind,
) -> String {
    let ip = IpAddr::from([127, 80, subnet, 1]);
    let store_address = SocketAddr::from(([127, 80, subnet, 250], 18_309));
    let store = Store::start(store_address);
    let store_is_up = served_service.is_some();
    store.put("op", "config", &base64(config(1, "skymap").as_bytes()));
    store.down.store(!store_is_up, Ordering::SeqCst);
    let mut process = SiteProcess::start(
        ip,
        store_address,
        served_service.unwrap_or("skymap"),
        behaviour,
    );
    let daemon = &process.daemon;
    wait_until("service", || daemon.get("/none/", "probe").is_some());
    if let Some(service) = served_service {
        wait_until("readiness", || daemon.readiness() == 200);
        assert_eq!(daemon.heartbeat(service, "ready", 1), 200);
    }
    let (method, path, count) = kind.method_path_count();
    let mut clients: Vec<Client> = (0..count)
        .map(|index| {
            let mut client = Client::connect(daemon.outbound());
            client.send(&request(method, path, &format!("r{index}")));
            client
        })
        .collect();
    for client in &mut clients {
        client.receive().unwrap();
    }
    thread::sleep(Duration::from_millis(100));
    process.child.kill().unwrap();
    process.output()
}

#[rstest]
#[case::busy(
    1,
    Some("skymap"),
    Behaviour::SendsWholeAfterMs(700),
    RequestKind::ReadsAtOnce,
    "busy",
    "not-run"
)]
#[case::deadline(
    2,
    Some("skymap"),
    Behaviour::SendsWholeAfterMs(3_000),
    RequestKind::Write,
    "deadline",
    "may-have-run"
)]
#[case::no_config(
    3,
    None,
    Behaviour::SendsWholeAfterMs(1),
    RequestKind::Read,
    "no-config",
    "-"
)]
#[case::no_route(
    4,
    Some("skymap"),
    Behaviour::SendsWholeAfterMs(1),
    RequestKind::UnknownPath,
    "no-route",
    "-"
)]
#[case::no_target(
    5,
    Some("alerts"),
    Behaviour::SendsWholeAfterMs(1),
    RequestKind::Read,
    "no-target",
    "not-run"
)]
#[case::target_failed(
    6,
    Some("skymap"),
    Behaviour::DropsAnswer,
    RequestKind::Write,
    "target-failed",
    "may-have-run"
)]
#[case::target_refused(
    7,
    Some("skymap"),
    Behaviour::Refuses,
    RequestKind::Write,
    "target-refused",
    "not-run"
)]
fn a_failed_request_is_logged_with_its_id_and_reason(
    #[case] subnet: u8,
    #[case] served_service: Option<&str>,
    #[case] behaviour: Behaviour,
    #[case] kind: RequestKind,
    #[case] reason: &str,
    #[case] verdict: &str,
) {
    let log = log_of(subnet, served_service, behaviour, kind);
    assert!(logs_refusal(&log, reason, verdict), "{log}");
}

/// Returns whether the log has a line about a refused request with this reason and verdict.
fn logs_refusal(log: &str, reason: &str, verdict: &str) -> bool {
    log.lines().any(|line| {
        let fields: serde_json::Value = serde_json::from_str(line).unwrap();
        let text = |name: &str| fields[name].as_str().unwrap_or("-").to_owned();
        text("event") == "refused"
            && text("id").starts_with('r')
            && text("reason") == reason
            && text("verdict") == verdict
    })
}

/// The targets of both daemons refuse everything: one request uses up its two attempts, and many use up the
/// retry budget.
#[rstest]
#[case::attempts(8, 1, "attempts-used-up")]
#[case::budget(9, 60, "no-budget")]
fn the_reason_for_giving_up_is_logged(
    #[case] subnet: u8,
    #[case] request_count: usize,
    #[case] reason: &str,
) {
    let ip = |last| IpAddr::from([127, 80, subnet, last]);
    let store_address = SocketAddr::new(ip(250), 18_309);
    let store = Store::start(store_address);
    store.put("op", "config", &base64(config(1, "skymap").as_bytes()));
    let mut entry = SiteProcess::start(ip(1), store_address, "skymap", Behaviour::Refuses);
    let other = SiteProcess::start(ip(2), store_address, "skymap", Behaviour::Refuses);
    for process in [&entry, &other] {
        wait_until("readiness", || process.daemon.readiness() == 200);
        assert_eq!(process.daemon.heartbeat("skymap", "ready", 1), 200);
    }
    wait_until("both daemons to serve", || {
        entry.daemon.dump().matches("\"serving\":true").count() > 2
    });
    for index in 0..request_count {
        let mut client = Client::connect(entry.daemon.outbound());
        client.send(&request("PUT", "/write/", &format!("r{index}")));
        assert_eq!(client.receive().unwrap().status(), 503);
    }
    thread::sleep(Duration::from_millis(100));
    entry.child.kill().unwrap();
    let log = entry.output();
    assert!(logs_refusal(&log, reason, "not-run"), "{log}");
}

/// Returns the fingerprint of a write request without a body from an instance of `skymap`.
fn fingerprint() -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3Default::new();
    for part in ["PUT", "map.example", "/write/", "skymap", ""] {
        hasher.update(&part.len().to_le_bytes());
        hasher.update(part.as_bytes());
    }
    hasher.digest()
}

/// What the entry finds at the gate address that the fake report names.
#[derive(Clone, Copy, Eq, PartialEq)]
enum HopDestination {
    /// A listener that closes each connection.
    ClosesConnections,
    /// A real daemon whose target is not the reported one.
    OtherService,
    /// No gate: the request goes to the entry's own target, and the report only names the crashes.
    EntryItself,
}

/// Hops fail because of what a fake peer reported: a gate that does not answer, a target that has moved, and
/// crashes of two upstreams.
#[rstest]
#[case::hop_lost(10, "hop-lost", "may-have-run", HopDestination::ClosesConnections)]
#[case::moved(11, "moved", "not-run", HopDestination::OtherService)]
#[case::quarantined(12, "quarantined", "not-run", HopDestination::EntryItself)]
fn a_failed_hop_is_logged_with_its_reason(
    #[case] subnet: u8,
    #[case] reason: &str,
    #[case] verdict: &str,
    #[case] hop_destination: HopDestination,
) {
    let ip = |last| IpAddr::from([127, 80, subnet, last]);
    let store_address = SocketAddr::new(ip(250), 18_309);
    let store = Store::start(store_address);
    store.put("op", "config", &base64(config(1, "skymap").as_bytes()));
    let start = |last, service| {
        let process = SiteProcess::start(
            ip(last),
            store_address,
            service,
            Behaviour::SendsWholeAfterMs(1),
        );
        wait_until("readiness", || process.daemon.readiness() == 200);
        process
    };
    let mut entry = start(
        1,
        if hop_destination == HopDestination::EntryItself {
            "skymap"
        } else {
            "alerts"
        },
    );
    let gate_address = SocketAddr::new(ip(2), 18_310);
    let _other = (hop_destination == HopDestination::OtherService).then(|| start(2, "alerts"));
    if hop_destination == HopDestination::ClosesConnections {
        let listener = TcpListener::bind(gate_address).unwrap();
        thread::spawn(move || listener.incoming().for_each(drop));
    }
    if hop_destination == HopDestination::EntryItself {
        assert_eq!(entry.daemon.heartbeat("skymap", "ready", 1), 200);
    }
    let peer = FakePeer {
        address: gate_address,
        crashes: [CrashEvidence::Ran, CrashEvidence::Sole]
            .into_iter()
            .zip(1..)
            .map(|(evidence, id)| ReportedCrash {
                age: Duration::ZERO,
                evidence,
                fingerprint: fingerprint(),
                id,
            })
            .collect(),
        service: if hop_destination == HopDestination::EntryItself {
            "alerts"
        } else {
            "skymap"
        },
        target: "i-other",
    };
    let stopped = AtomicBool::new(false);
    thread::scope(|scope| {
        let (to, stopped) = (entry.daemon.address(18_310), &stopped);
        let from = SocketAddr::new(ip(3), 18_310);
        scope.spawn(move || peer.send_reports(from, to, || stopped.load(Ordering::SeqCst)));
        wait_until("the report", || entry.daemon.dump().contains("i-other"));
        let mut client = Client::connect(entry.daemon.outbound());
        client.send(&request("PUT", "/write/", "r0"));
        client.receive();
        stopped.store(true, Ordering::SeqCst);
    });
    thread::sleep(Duration::from_millis(100));
    entry.child.kill().unwrap();
    let log = entry.output();
    assert!(logs_refusal(&log, reason, verdict), "{log}");
}
