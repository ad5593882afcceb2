//! Two upstreams crash at once while each runs the same popular request.

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

const UPSTREAMS: usize = 15;

pub fn run(record: &str, has_trouble: bool) -> bool {
    let record = Record::create(record);
    let first = [route("/reports/", "safe", "skymap", 0.8, 2)];
    let bounds = [
        "addr_reuse_s=2",
        "contact_s=3",
        "drain_s=2",
        "grace_s=6",
        "config_apply_s=2",
        "retry_budget_ratio=0.2",
        "budget_window_s=10",
        "budget_slack=64",
        "recovery_s=15",
    ];
    let services = vec!["skymap"; UPSTREAMS];
    let mut fleet = Fleet::start(
        &services,
        &config(1, &first, &["skymap"]),
        &bounds,
        record.clone(),
    );
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
        pause: Duration::from_millis(100),
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
            index, address, 4, &live, &attempts, &record, &stops,
        ));
        clients.extend(start_clients(
            index, address, 2, &reports, &attempts, &record, &stops,
        ));
    }
    thread::sleep(Duration::from_secs(5));
    let crashed = [3, 9];
    if has_trouble {
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
