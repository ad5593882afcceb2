//! The log under a flood, with a reader that doesn't read: requests go on, and what is dropped is told.

#[allow(dead_code)]
#[path = "../../../platform/tests/stand_in/mod.rs"]
mod stand_in;

use std::{
    io::{BufRead, BufReader},
    net::{IpAddr, SocketAddr},
    process::{Command, Stdio},
    thread,
};

use stand_in::{
    daemon::{Daemon, base64, config, request, settings_file, wait_until},
    message::Client,
    store::Store,
    target::{Manner, Target},
};

/// More than the pipe, the queue of lines and a second's lines hold together.
const REQUESTS: usize = 4_000;

/// How many lines a second the log takes, as docs/OPERATIONS.md says.
const LINES_PER_S: usize = 200;

#[test]
fn a_flood_of_lines_that_nobody_reads_holds_up_no_request() {
    let ip = IpAddr::from([127, 79, 1, 1]);
    let store_address = SocketAddr::from(([127, 79, 1, 250], 18_309));
    let store = Store::start(store_address);
    store.put("op", "config", &base64(config(1, "skymap").as_bytes()));
    let target = Target::start(SocketAddr::new(ip, 18_301), "i-1", Manner::Whole(1));
    let settings = settings_file(ip, store_address, 18_301, "skymap");
    let mut child = Command::new(env!("CARGO_BIN_EXE_medlarspoold"))
        .arg("--site")
        .env(medlarspool_adapter::SETTINGS_VARIABLE, settings.path())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let daemon = Daemon { ip, target };
    wait_until("readiness", || daemon.readiness() == 200);
    let begun = std::time::Instant::now();
    let mut client = Client::connect(daemon.outbound());
    for number in 0..REQUESTS {
        client.send(&request("GET", "/none/", &format!("r{number}")));
        assert_eq!(client.receive().unwrap().status(), 404);
    }
    let seconds = usize::try_from(begun.elapsed().as_secs()).unwrap() + 2;
    let output = child.stdout.take().unwrap();
    let reader = thread::spawn(move || {
        BufReader::new(output)
            .lines()
            .map_while(Result::ok)
            .collect()
    });
    thread::sleep(std::time::Duration::from_millis(1_200));
    // This line is the first with room, so it tells how many were dropped.
    assert_eq!(daemon.get("/none/", "last").unwrap().status(), 404);
    thread::sleep(std::time::Duration::from_millis(200));
    child.kill().unwrap();
    child.wait().unwrap();
    let lines: Vec<String> = reader.join().unwrap();
    let refused = lines
        .iter()
        .filter(|line| line.contains("no-route"))
        .count();
    assert!(
        refused <= LINES_PER_S * seconds,
        "{refused} lines in {seconds} s"
    );
    assert!(
        lines.iter().any(|line| line.contains("\"dropped\":")),
        "{:?}",
        lines.last()
    );
}
