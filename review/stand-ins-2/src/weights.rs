//! The operator splits a route by weights that aren't whole numbers, and drops another route in the same version.

use std::{
    collections::HashSet,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use serde_json::{Value, json};

use crate::{
    client::{Attempts, Habit, start_clients},
    fleet::{Fleet, Record, config, route},
    upstream::now_us,
};

/// How long after its acknowledgement a version may take to be in force.
const CONFIG_APPLY_US: u64 = 2_000_000;

pub fn run(record: &str, has_trouble: bool) -> bool {
    let record = Record::create(record);
    let services = ["skymap", "charts"];
    let routes = [
        route("/maps/", "safe", "skymap", 1.0, 2),
        route("/old/", "unsafe", "skymap", 1.0, 2),
    ];
    let on_machines = ["skymap", "skymap", "charts"];
    let mut fleet = Fleet::start(&on_machines, &config(1, &routes, &services), record.clone());
    for index in 0..on_machines.len() {
        fleet.start_upstream(index, &format!("i-{index}"), now_us() / 1_000, 6, 20);
    }
    thread::sleep(Duration::from_secs(4));
    let attempts = Attempts::default();
    let stops = Arc::new(AtomicBool::new(false));
    let maps = Habit {
        deadline_ms: 1_000,
        kind: "maps",
        method: "GET",
        path: Arc::new(|number| format!("/maps/{number}")),
        pause: Duration::from_millis(100),
    };
    let old = Habit {
        kind: "old",
        method: "POST",
        path: Arc::new(|number| format!("/old/{number}")),
        ..maps.clone()
    };
    let mut clients = Vec::new();
    for index in 0..on_machines.len() {
        let address = fleet.outbound(index);
        clients.extend(start_clients(
            index, address, 2, &maps, &attempts, &record, &stops,
        ));
        clients.extend(start_clients(
            index, address, 2, &old, &attempts, &record, &stops,
        ));
    }
    thread::sleep(Duration::from_secs(5));
    let weights = if has_trouble {
        [json!(12.5), json!(87.5)]
    } else {
        [json!(13), json!(87)]
    };
    let mut split = route("/maps/", "safe", "skymap", 1.0, 2);
    if let Value::Object(spec) = &mut split["spec"] {
        spec.remove("service");
        let parts = json!([{"service": "skymap", "weight": weights[0]}, {"service": "charts", "weight": weights[1]}]);
        spec.insert("traffic_split".into(), parts);
    }
    fleet.store.put(
        "op",
        "config",
        config(2, &[split], &services).to_string().as_bytes(),
    );
    let acknowledged_us = now_us();
    record.write(&format!(
        "the store acknowledges version 2: /maps/ is split {} to {}, /old/ is dropped",
        weights[0], weights[1]
    ));
    thread::sleep(Duration::from_secs(20));
    stops.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    let lines = fleet.lines.lock().unwrap();
    let runs = lines.iter().filter_map(|(name, _, line)| {
        Some((line.strip_prefix("run ")?.split(' ').next()?, name.as_str()))
    });
    let runs: Vec<(&str, &str)> = runs.collect();
    let ran: HashSet<&str> = runs.iter().map(|(id, _)| *id).collect();
    let attempts = attempts.lock().unwrap();
    let is_late = |sent_us: u64| sent_us > acknowledged_us + CONFIG_APPLY_US;
    let on_dropped = attempts
        .iter()
        .filter(|it| it.kind == "old" && is_late(it.sent_us) && ran.contains(it.id.as_str()))
        .count();
    let late_maps: HashSet<&str> = attempts
        .iter()
        .filter(|it| it.kind == "maps" && is_late(it.sent_us))
        .map(|it| it.id.as_str())
        .collect();
    let to_charts = runs
        .iter()
        .filter(|(id, name)| late_maps.contains(id) && *name == "i-2")
        .count();
    let result = format!(
        "sent later than config_apply_s after the acknowledgement: {on_dropped} requests ran with the dropped route; \
         {to_charts} of {} on the split route ran at the service with the greater weight; the rule {}",
        late_maps.len(),
        if on_dropped > 0 { "was broken" } else { "held" }
    );
    record.write(&result);
    println!("{result}");
    on_dropped > 0
}
