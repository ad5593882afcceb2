//! Log lines that nobody reads must not block requests; lines beyond the limit are dropped and counted.

#[allow(dead_code)]
#[path = "../../../platform/tests/stand_in/mod.rs"]
mod stand_in;

#[allow(dead_code)]
mod site_process;

use std::{
    io::{BufRead, BufReader},
    net::{IpAddr, SocketAddr},
    thread,
};

use site_process::SiteProcess;
use stand_in::{
    daemon::{base64, config, request, wait_until},
    message::Client,
    store::Store,
    target::Behaviour,
};

/// More requests than the pipe, the queue of lines and the lines of one second can hold together.
const REQUEST_COUNT: usize = 4_000;

/// How many lines a second the daemon logs at most, as docs/OPERATIONS.md says.
const MAX_LINES_PER_S: usize = 200;

#[test]
fn unread_log_lines_delay_no_request() {
    let ip = IpAddr::from([127, 79, 1, 1]);
    let store_address = SocketAddr::from(([127, 79, 1, 250], 18_309));
    let store = Store::start(store_address);
    store.put("op", "config", &base64(config(1, "skymap").as_bytes()));
    let mut process =
        SiteProcess::start(ip, store_address, "skymap", Behaviour::SendsWholeAfterMs(1));
    wait_until("readiness", || process.daemon.readiness() == 200);
    let daemon = &process.daemon;
    let began = std::time::Instant::now();
    let mut client = Client::connect(daemon.outbound());
    for index in 0..REQUEST_COUNT {
        client.send(&request("GET", "/none/", &format!("r{index}")));
        assert_eq!(client.receive().unwrap().status(), 404);
    }
    let max_seconds = usize::try_from(began.elapsed().as_secs()).unwrap() + 2;
    let output = process.child.stdout.take().unwrap();
    let reader = thread::spawn(move || {
        BufReader::new(output)
            .lines()
            .map_while(Result::ok)
            .collect()
    });
    thread::sleep(std::time::Duration::from_millis(1_200));
    // The limit has room again for this request's line, which therefore reports how many were dropped.
    assert_eq!(daemon.get("/none/", "last").unwrap().status(), 404);
    thread::sleep(std::time::Duration::from_millis(200));
    process.child.kill().unwrap();
    let lines: Vec<String> = reader.join().unwrap();
    let refused_count = lines
        .iter()
        .filter(|line| line.contains("no-route"))
        .count();
    assert!(
        refused_count <= MAX_LINES_PER_S * max_seconds,
        "{refused_count} lines in {max_seconds} s"
    );
    assert!(
        lines.iter().any(|line| line.contains("\"dropped\":")),
        "{:?}",
        lines.last()
    );
}
