//! A fleet of separate processes, for tests of calls.

use std::{thread, time::Duration};

use medlarspool_bench::{
    CallerReply, OPERATOR_TOKEN, ProcessFleet, UpstreamBehaviour, program_paths,
};

pub const CREDENTIAL: &str = "observer-credential";

/// Starts a fleet whose first daemon has no upstream and whose other daemons each have an upstream of `alerts`.
pub fn start_fleet(gate_count: usize, service_time: Duration) -> ProcessFleet {
    let mut fleet = ProcessFleet::start(program_paths!()).expect("the platform starts");
    fleet.add_daemon("zone-a", None).expect("a daemon starts");
    for _ in 0..gate_count {
        fleet
            .add("zone-a", "alerts", UpstreamBehaviour::Plain, service_time)
            .expect("a daemon starts");
    }
    fleet
        .put(0, CREDENTIAL, &["alerts"])
        .expect("the lists are accepted");
    fleet
}

/// Waits until each daemon serves and knows all upstreams; panics if that takes too long.
pub fn wait_until_ready(fleet: &ProcessFleet) {
    let upstream_count = fleet.daemons.len() - 1;
    for daemon in 0..fleet.daemons.len() {
        fleet
            .call_until(daemon, "/alerts/ready", CREDENTIAL, 200)
            .expect("the fleet serves");
        let knows_all = (0..3_000).any(|_| {
            thread::sleep(Duration::from_millis(20));
            known_upstream_count(fleet, daemon) == upstream_count
        });
        assert!(
            knows_all,
            "daemon {daemon} does not know all upstreams: {}",
            dump(fleet, daemon)
        );
    }
}

fn dump(fleet: &ProcessFleet, daemon: usize) -> serde_json::Value {
    let address = fleet.daemons[daemon].settings.administration_address;
    let dump = CallerReply::get(&format!("http://{address}/dump"), OPERATOR_TOKEN);
    serde_json::from_str(&dump.expect("the daemon answers with its dump").body)
        .expect("the dump is JSON")
}

fn known_upstream_count(fleet: &ProcessFleet, daemon: usize) -> usize {
    let dump = dump(fleet, daemon);
    let upstreams = dump["directory"]["upstreams"]["alerts"].as_array();
    upstreams.map_or(0, Vec::len)
}

fn wait_for_run(fleet: &ProcessFleet, id: &str) {
    for _ in 0..400 {
        if fleet.run_count(id) > 0 {
            return;
        }
        thread::sleep(Duration::from_millis(10));
    }
    panic!("the request never ran");
}

pub fn status_and_verdict(reply: &CallerReply) -> (u16, &str) {
    (reply.status, reply.verdict.as_str())
}

/// Sends a request through the first daemon, calls `interrupt` once the request runs, and returns the caller's
/// reply. The first header must be the request's id.
pub fn post_and_interrupt(
    fleet: &mut ProcessFleet,
    headers: &'static [(&'static str, &'static str)],
    interrupt: impl FnOnce(&mut ProcessFleet),
) -> CallerReply {
    let address = fleet.daemons[0].settings.callers_address;
    let url = format!("http://{address}/alerts/send");
    let caller = thread::spawn(move || CallerReply::post(&url, CREDENTIAL, headers, "a body"));
    wait_for_run(fleet, headers[0].1);
    interrupt(fleet);
    caller
        .join()
        .expect("the caller ends")
        .expect("an answer is received")
}
