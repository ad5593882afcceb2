//! Two upstreams crash at once while each runs the same popular request.

use std::{
    collections::HashSet,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{Attempts, Habit, start_clients},
    fleet::{Fleet, Record, config, give_up, route},
    upstream::now_us,
};

const UPSTREAMS: usize = 15;

pub fn run(record: &str, has_trouble: bool) -> bool {
    let record = Record::create(record);
    let first = [route("/reports/", "safe", "skymap", 0.8, 2)];
    let services = vec!["skymap"; UPSTREAMS];
    let mut fleet = Fleet::start(&services, &config(1, &first, &["skymap"]), record.clone());
    for index in 0..UPSTREAMS {
        fleet.start_upstream(index, &format!("i-{index}-1"), now_us() / 1_000, 6, 100);
    }
    thread::sleep(Duration::from_secs(2));
    let both = [first[0].clone(), route("/live/", "safe", "skymap", 0.8, 2)];
    fleet.store.put(
        "op",
        "config",
        config(2, &both, &["skymap"]).to_string().as_bytes(),
    );
    record.write("the operator adds the route /live/");
    thread::sleep(Duration::from_secs(3));
    let attempts = Attempts::default();
    let stops = Arc::new(AtomicBool::new(false));
    let live = Habit {
        deadline_ms: 800,
        kind: "live",
        method: "GET",
        path: Arc::new(|_| "/live/map".into()),
        pause: Duration::from_millis(150),
    };
    let reports = Habit {
        kind: "report",
        path: Arc::new(|number| format!("/reports/{number}")),
        pause: Duration::from_millis(250),
        ..live.clone()
    };
    let mut clients = Vec::new();
    for index in 0..UPSTREAMS {
        let address = fleet.outbound(index);
        clients.extend(start_clients(
            index, address, 2, &live, &attempts, &record, &stops,
        ));
        clients.extend(start_clients(
            index, address, 2, &reports, &attempts, &record, &stops,
        ));
    }
    thread::sleep(Duration::from_secs(5));
    let crashed = [3, 9];
    if has_trouble {
        wait_until_live_runs(&fleet, crashed);
        for index in crashed {
            fleet.kill_upstream(index);
        }
    }
    thread::sleep(Duration::from_secs(4));
    if has_trouble {
        for index in crashed {
            fleet.start_upstream(index, &format!("i-{index}-2"), now_us() / 1_000, 6, 100);
        }
    }
    thread::sleep(Duration::from_secs(8));
    let steady_from = now_us();
    record.write("steady state: the requests from here on are counted");
    thread::sleep(Duration::from_secs(20));
    stops.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let attempts = attempts.lock().unwrap();
    let count = |kind: &str| {
        let of_kind = attempts
            .iter()
            .filter(|it| it.kind == kind && it.sent_us >= steady_from);
        let served = of_kind
            .clone()
            .filter(|it| it.status == Some(200) && it.is_signed)
            .count();
        (served, of_kind.count())
    };
    let ((live_served, live_sent), (reports_served, reports_sent)) =
        (count("live"), count("report"));
    let share = |served: usize, sent: usize| served as f64 / sent.max(1) as f64;
    let is_broken = live_sent >= 20
        && share(live_served, live_sent) < 0.25 * share(reports_served, reports_sent);
    let result = format!(
        "served in steady state: {live_served} of {live_sent} on the added route, {reports_served} of {reports_sent} on the first one; the rule {}",
        if is_broken { "was broken" } else { "held" }
    );
    record.write(&result);
    println!("{result}");
    is_broken
}

/// Waits until each of these upstreams runs two requests on the added route, so that one is still running when it ends.
fn wait_until_live_runs(fleet: &Fleet, indices: [usize; 2]) {
    let is_running = |index: usize| {
        let name = format!("i-{index}-1");
        let lines = fleet.lines.lock().unwrap();
        let own = lines.iter().filter(|(other, ..)| *other == name);
        let (mut live, mut running) = (HashSet::new(), 0);
        for (_, _, line) in own {
            let mut words = line.split(' ');
            match (words.next(), words.next(), line.ends_with("/live/map")) {
                (Some("run"), Some(id), true) => running += i32::from(live.insert(id)),
                (Some("end"), Some(id), _) => running -= i32::from(live.contains(id)),
                _ => {}
            }
        }
        running > 1
    };
    let deadline = Instant::now() + Duration::from_secs(10);
    while !indices.into_iter().all(is_running) {
        if Instant::now() > deadline {
            give_up("the upstreams never run the popular request at the same time");
        }
    }
}
