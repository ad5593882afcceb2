//! Upstreams hand out wrong bytes: some of their answers come without the signature.

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
    fleet::{Fleet, Record, config, route},
    upstream::now_us,
};

const UPSTREAMS: usize = 5;

/// The upstreams that are faulty for a while: a share of 0.4.
const FAULTY: [usize; 2] = [1, 3];

pub fn run(record: &str, has_trouble: bool) -> bool {
    let record = Record::create(record);
    let routes = [
        route("/dispatch/", "unsafe", "alerts", 0.6, 2),
        route("/subscribers/", "safe", "alerts", 0.6, 2),
    ];
    let services = ["alerts"; UPSTREAMS];
    let mut fleet = Fleet::start(&services, &config(1, &routes, &["alerts"]), record.clone());
    for index in 0..UPSTREAMS {
        fleet.start_upstream(index, &format!("i-{index}"), now_us() / 1_000, 6, 42);
    }
    thread::sleep(Duration::from_secs(3));
    let attempts = Attempts::default();
    let stops = Arc::new(AtomicBool::new(false));
    let dispatch = Habit {
        deadline_ms: 600,
        kind: "dispatch",
        method: "PUT",
        path: Arc::new(|number| format!("/dispatch/{number}")),
        pause: Duration::from_millis(100),
    };
    let lookup = Habit {
        kind: "lookup",
        method: "GET",
        path: Arc::new(|number| format!("/subscribers/{number}")),
        ..dispatch.clone()
    };
    let mut clients = Vec::new();
    for index in 0..UPSTREAMS {
        let address = fleet.outbound(index);
        for habit in [&dispatch, &lookup] {
            clients.extend(start_clients(
                index, address, 2, habit, &attempts, &record, &stops,
            ));
        }
    }
    thread::sleep(Duration::from_secs(5));
    if has_trouble {
        record.write("two of five upstreams begin to hand out wrong bytes");
        for index in FAULTY {
            fleet.order(index, "garble");
        }
    }
    thread::sleep(Duration::from_secs(5));
    for index in FAULTY {
        fleet.order(index, "sound");
    }
    record.write("all upstreams are sound");
    thread::sleep(Duration::from_secs(5));
    stops.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let spoiled = fleet
        .lines
        .lock()
        .unwrap()
        .iter()
        .filter(|(_, _, line)| line.starts_with("spoiled "))
        .count();
    let attempts = attempts.lock().unwrap();
    let successes = attempts.iter().filter(|it| it.status == Some(200));
    let unsigned = successes.clone().filter(|it| !it.is_signed).count();
    let result = format!(
        "of {} successes, {unsigned} came without the upstream's Response-Signature; the upstreams spoiled {spoiled} answers; the rule {}",
        successes.count(),
        if unsigned > 0 { "was broken" } else { "held" }
    );
    record.write(&result);
    println!("{result}");
    unsigned > 0
}
