//! A gate that is killed and started again obeys what its target had told the entries.

#[allow(dead_code)]
#[path = "../../../platform/tests/stand_in/mod.rs"]
mod stand_in;

#[allow(dead_code)]
mod site_process;

use std::{
    net::{IpAddr, SocketAddr},
    sync::atomic::{AtomicBool, Ordering},
    thread,
    time::{Duration, Instant},
};

use rstest::rstest;
use site_process::SiteProcess;
use stand_in::{
    daemon::{base64, config, request, wait_until},
    message::round_trip,
    store::Store,
    target::Behaviour,
};

/// How long a target runs a request, in milliseconds.
const RUN_MS: u64 = 50;

/// The entries, with two clients each that send one request after the other: more than the target has slots for.
const ENTRY_COUNT: u8 = 6;

/// How long arrivals are counted after the restart.
const WINDOW: Duration = Duration::from_secs(4);

/// Guards against entries that fill the target of a restarted gate, which hasn't heard from its target yet.
#[rstest]
#[case::limited(1, "Server-Limit: 0.5", 2)]
#[case::takes_nothing(2, "Server-Limit: 0", 0)]
#[case::leaves(3, "Server-Leaving: 1", 0)]
fn a_restarted_gate_sends_no_more_than_its_target_takes(
    #[case] subnet: u8,
    #[case] header: &str,
    #[case] allowed: usize,
) {
    let ip = |last| IpAddr::from([127, 83, subnet, last]);
    let store_address = SocketAddr::new(ip(250), 18_309);
    let store = Store::start(store_address);
    store.put("op", "config", &base64(config(1, "skymap").as_bytes()));
    let start = |last, service| {
        let behaviour = Behaviour::SendsWholeAfterMs(RUN_MS);
        SiteProcess::start(ip(last), store_address, service, behaviour)
    };
    let mut gate = start(1, "skymap");
    let entries: Vec<_> = (2..2 + ENTRY_COUNT)
        .map(|last| start(last, "alerts"))
        .collect();
    for process in entries.iter().chain([&gate]) {
        wait_until("readiness", || process.daemon.readiness() == 200);
    }
    assert_eq!(gate.daemon.heartbeat("skymap", "ready", 1), 200);
    let knows_gate = format!("\"target\":\"{}\"", gate.daemon.target.id);
    for entry in &entries {
        wait_until("the gate's report", || {
            entry.daemon.dump().contains(&knows_gate)
        });
    }

    let arrivals = under_load(&entries, || {
        wait_until("requests at the target", || {
            gate.daemon.target.run_count() > 10
        });
        *gate.daemon.target.own_headers.lock().unwrap() = format!("{header}\r\n");
        thread::sleep(Duration::from_secs(1));
        gate.kill_and_restart();
        wait_until("readiness", || gate.daemon.readiness() == 200);
        let restarted_at = Instant::now();
        // The target's word in a heartbeat is late: it says that it is ready.
        assert_eq!(gate.daemon.heartbeat("skymap", "ready", 9), 200);
        thread::sleep(WINDOW);
        let arrivals = gate.daemon.target.arrivals.lock().unwrap();
        arrivals.iter().filter(|at| **at >= restarted_at).count()
    });
    // One for the edge of the window, and one by which a limit that nothing confirms is tried.
    assert!(
        arrivals <= allowed + 2,
        "{arrivals} arrivals, {allowed} allowed"
    );
}

/// Sends requests to all entries until `measure` returns; returns its result.
fn under_load<T>(entries: &[SiteProcess], measure: impl FnOnce() -> T) -> T {
    let is_ended = AtomicBool::new(false);
    thread::scope(|scope| {
        for (client, entry) in entries.iter().flat_map(|entry| [entry; 2]).enumerate() {
            let (is_ended, daemon) = (&is_ended, &entry.daemon);
            scope.spawn(move || {
                let mut count = 0;
                while !is_ended.load(Ordering::Relaxed) {
                    let id = format!("c{client}-{count}");
                    round_trip(daemon.outbound(), &request("GET", "/read/", &id));
                    count += 1;
                    thread::sleep(Duration::from_millis(5));
                }
            });
        }
        let _end = EndOnDrop(&is_ended);
        measure()
    })
}

/// Ends the clients, also if the measurement panics.
struct EndOnDrop<'a>(&'a AtomicBool);

impl Drop for EndOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}
