//! Planned stops of the real program while clients send requests until no connection is accepted.

#[allow(dead_code)]
#[path = "../../../platform/tests/stand_in/mod.rs"]
mod stand_in;

mod fake_peer;

#[allow(dead_code)]
mod site_process;

use std::{
    collections::HashSet,
    io::{BufReader, Write},
    net::{IpAddr, SocketAddr, TcpListener},
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use fake_peer::FakePeer;
use site_process::SiteProcess;
use stand_in::{
    daemon::{base64, config, request, wait_until},
    message::{Client, read},
    store::Store,
    target::Behaviour,
};

const CLIENT_COUNT: usize = 12;

/// The time for a planned stop, as in the settings file of `stand_in`.
const STOP_TIMEOUT: Duration = Duration::from_secs(6);

/// How soon a connection must end on which a request got no answer.
const MAX_UNANSWERED_TIME: Duration = Duration::from_millis(200);

/// How long the silent gate takes to answer: longer than the silence after which an entry that is not
/// stopping counts a hop as lost.
const SILENT_RUN_TIME: Duration = Duration::from_millis(900);

/// The maximum number of requests of a client, so that a failing test ends.
const MAX_REQUESTS: usize = 2_000;

/// How many answers a client received, and which requests got none: their ids and the time until the
/// connection ended.
#[derive(Default)]
struct ClientResult {
    answer_count: usize,
    unanswered: Vec<(String, Duration)>,
}

/// Sends one request after another, each on a new connection, until the daemon accepts none.
fn send_until_refused(address: SocketAddr, client_index: usize, round: u8) -> ClientResult {
    let mut result = ClientResult::default();
    for request_index in 0..MAX_REQUESTS {
        let id = format!("s{round}-{client_index}-{request_index}");
        let Ok(mut connection) = Client::try_connect(address) else {
            return result;
        };
        let (method, path) = method_and_path(client_index);
        let text = request(method, path, &id);
        if !connection.try_send(&text) {
            return result;
        }
        let sent_at = Instant::now();
        match connection.receive() {
            Some(_) => result.answer_count += 1,
            None => result.unanswered.push((id, sent_at.elapsed())),
        }
    }
    panic!("client {client_index} was never refused");
}

/// Returns an idempotent request for half of the clients, and a non-idempotent one for the others.
const fn method_and_path(client_index: usize) -> (&'static str, &'static str) {
    if client_index.is_multiple_of(2) {
        ("GET", "/read/")
    } else {
        ("PUT", "/write/")
    }
}

/// Acts as the gate at `address`: accepts one hop, sends nothing for [`SILENT_RUN_TIME`] and then a whole
/// answer. Reports the gate's target to `entry` until `stopped` is set.
fn answer_silently(address: SocketAddr, entry: SocketAddr, stopped: &AtomicBool) {
    let listener = TcpListener::bind(address).unwrap();
    let serving = thread::spawn(move || {
        let (stream, _) = listener.accept().unwrap();
        let mut reader = BufReader::new(&stream);
        read(&mut reader).unwrap();
        thread::sleep(SILENT_RUN_TIME);
        let answer = "HTTP/1.1 200 OK\r\nMedlarspool-Verdict: ran\r\nContent-Length: 2\r\n\r\nok";
        (&stream).write_all(answer.as_bytes()).unwrap();
    });
    let peer = FakePeer {
        address,
        crashes: Vec::new(),
        service: "skymap",
        target: "i-silent",
    };
    peer.send_reports(address, entry, || stopped.load(Ordering::SeqCst));
    serving.join().unwrap();
}

#[test]
fn a_planned_stop_waits_for_a_request_at_a_silent_gate() {
    let ip = |last| IpAddr::from([127, 79, 3, last]);
    let store_address = SocketAddr::new(ip(250), 18_309);
    let store = Store::start(store_address);
    store.put("op", "config", &base64(config(1, "skymap").as_bytes()));
    let mut process = SiteProcess::start(
        ip(1),
        store_address,
        "alerts",
        Behaviour::SendsWholeAfterMs(1),
    );
    wait_until("readiness", || process.daemon.readiness() == 200);
    let stopped = AtomicBool::new(false);
    let mut status = 0;
    thread::scope(|scope| {
        let entry = process.daemon.address(18_310);
        let (gate, stopped) = (SocketAddr::new(ip(2), 18_310), &stopped);
        scope.spawn(move || answer_silently(gate, entry, stopped));
        wait_until("the other daemon", || {
            process.daemon.dump().contains("i-silent")
        });
        let mut client = Client::connect(process.daemon.outbound());
        client.send(&request("GET", "/read/", "r1"));
        thread::sleep(Duration::from_millis(100));
        process.signal("-TERM");
        status = client.receive().map_or(0, |answer| answer.status());
        stopped.store(true, Ordering::SeqCst);
    });
    assert_eq!(status, 200);
    process.output();
}

#[test]
fn no_request_is_lost_at_the_end_of_a_planned_stop() {
    for round in 1..=3 {
        let ip = IpAddr::from([127, 79, 2, round]);
        let store_address = SocketAddr::new(ip, 18_309);
        let store = Store::start(store_address);
        store.put("op", "config", &base64(config(1, "skymap").as_bytes()));
        let mut process = SiteProcess::start(
            ip,
            store_address,
            "skymap",
            Behaviour::SendsWholeAfterMs(60),
        );
        wait_until("readiness", || process.daemon.readiness() == 200);
        assert_eq!(process.daemon.heartbeat("skymap", "ready", 1), 200);
        let clients: Vec<_> = (0..CLIENT_COUNT)
            .map(|client_index| {
                let outbound = process.daemon.outbound();
                thread::spawn(move || send_until_refused(outbound, client_index, round))
            })
            .collect();
        thread::sleep(Duration::from_millis(300));
        let stop_began = Instant::now();
        process.signal("-TERM");
        let log = process.output();
        assert!(
            stop_began.elapsed() < STOP_TIMEOUT,
            "the stop took {:?}",
            stop_began.elapsed()
        );
        assert!(log.contains(r#""reason":"stopping""#), "{log}");
        assert!(log.contains(r#""event":"stopped""#), "{log}");
        let daemon = &process.daemon;
        let ran: HashSet<String> = {
            let runs = daemon.target.runs.lock().unwrap();
            runs.iter()
                .filter_map(|run| Some(run.header("Request-Id")?.to_owned()))
                .collect()
        };
        for client in clients {
            let result = client.join().unwrap();
            assert!(result.answer_count > 10, "{}", result.answer_count);
            for (id, after) in result.unanswered {
                assert!(!ran.contains(&id), "{id} ran and got no answer");
                assert!(
                    after < MAX_UNANSWERED_TIME,
                    "the connection of {id} ended only after {after:?}, without an answer"
                );
            }
        }
    }
}
