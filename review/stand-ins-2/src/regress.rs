//! The time of day jumps back on a machine whose upstream has just started and crashes; under its id it starts again, and
//! drains later.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    client::{Attempts, Habit, start_clients},
    fleet::{Fleet, Record, config, give_up, route},
    upstream::now_us,
};

/// How far the time of day jumps back.
const JUMP_MS: u64 = 2_000;

/// How long after its acknowledgement a leaving upstream may still get requests.
const DRAIN_US: u64 = 2_000_000;

const UPSTREAMS: usize = 7;

pub fn run(record: &str, has_trouble: bool) -> bool {
    let record = Record::create(record);
    let routes = [route("/dispatch/", "unsafe", "alerts", 0.6, 2)];
    let services = ["alerts"; UPSTREAMS];
    let mut fleet = Fleet::start(&services, &config(1, &routes, &["alerts"]), record.clone());
    for index in 0..UPSTREAMS {
        fleet.start_upstream(index, &format!("i-{index}"), now_us() / 1_000, 6, 42);
    }
    // No traffic yet. The first upstream crashes 0.8 s after its start and is back after another 0.6 s.
    thread::sleep(Duration::from_millis(800));
    fleet.kill_upstream(0);
    thread::sleep(Duration::from_millis(600));
    let jump_ms = if has_trouble { JUMP_MS } else { 0 };
    record.write(&format!(
        "the time of day on machine 0 has jumped back by {jump_ms} ms"
    ));
    fleet.start_upstream(0, "i-0", now_us() / 1_000 - jump_ms, 6, 42);
    thread::sleep(Duration::from_secs(6));
    let attempts = Attempts::default();
    let stops = Arc::new(AtomicBool::new(false));
    let habit = Habit {
        deadline_ms: 600,
        kind: "dispatch",
        method: "PUT",
        path: Arc::new(|number| format!("/dispatch/{number}")),
        pause: Duration::from_millis(50),
    };
    let mut clients = Vec::new();
    for index in 0..UPSTREAMS {
        let address = fleet.outbound(index);
        clients.extend(start_clients(
            index, address, 4, &habit, &attempts, &record, &stops,
        ));
    }
    thread::sleep(Duration::from_secs(8));
    fleet.order(0, "drain");
    let within = Duration::from_secs(4);
    let Some(acknowledged_us) = fleet.wait_for_line("i-0", "acknowledged draining", within) else {
        give_up("nobody acknowledged that the upstream leaves");
    };
    thread::sleep(Duration::from_secs(8));
    fleet.order(0, "leave");
    thread::sleep(Duration::from_secs(2));
    stops.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let is_late = |at_us: u64| at_us > acknowledged_us + DRAIN_US;
    let lines = fleet.lines.lock().unwrap();
    let is_late_run = |name: &str, at_us: u64, line: &str| {
        name == "i-0" && is_late(at_us) && line.starts_with("run ")
    };
    let late = lines
        .iter()
        .filter(|(name, at_us, line)| is_late_run(name, *at_us, line));
    let late_count = late.count();
    let attempts = attempts.lock().unwrap();
    let lost = attempts
        .iter()
        .filter(|it| is_late(it.sent_us) && matches!(it.status, None | Some(502 | 504)));
    let result = format!(
        "requests that reached the upstream later than drain_s after its leaving was acknowledged: {late_count}; \
         sent then and ended with 502, 504 or no answer: {}; the rule {}",
        lost.count(),
        if late_count > 0 { "was broken" } else { "held" }
    );
    record.write(&result);
    println!("{result}");
    late_count > 0
}
