//! A request crashes each upstream that begins to run it, and comes again, while the upstreams' slots are mostly in use.

use std::{
    collections::HashMap,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    client::{Attempts, Habit, attempt, start_clients},
    fleet::{Fleet, Record, config, route},
    upstream::now_us,
};

const UPSTREAMS: usize = 10;
const SLOTS: u64 = 18;
const WORK_MS: u64 = 290;

/// How long a machine has to be calm to be in touch.
const CONTACT_US: u64 = 3_000_000;

/// How long a crashed upstream is away.
const AWAY: Duration = Duration::from_secs(3);

pub fn run(record: &str, path: &str, has_trouble: bool) -> bool {
    let record = Record::create(record);
    let routes = [
        route("/history/", "safe", "historial", 6.0, 2),
        route("/orders/", "unsafe", "historial", 6.0, 2),
    ];
    let services = ["historial"; UPSTREAMS];
    let mut fleet = Fleet::start(
        &services,
        &config(1, &routes, &["historial"]),
        record.clone(),
    );
    let mut starts = [1; UPSTREAMS];
    for index in 0..UPSTREAMS {
        fleet.start_upstream(
            index,
            &format!("i-{index}-1"),
            now_us() / 1_000,
            SLOTS,
            WORK_MS,
        );
    }
    thread::sleep(Duration::from_secs(3));
    let attempts = Attempts::default();
    let stops = Arc::new(AtomicBool::new(false));
    let reading = Habit {
        deadline_ms: 6_000,
        kind: "reading",
        method: "GET",
        path: Arc::new(|number| format!("/history/{number}")),
        pause: Duration::from_millis(300),
    };
    let order = Habit {
        kind: "order",
        method: "POST",
        path: Arc::new(|number| format!("/orders/{number}")),
        ..reading.clone()
    };
    let path = path.to_owned();
    let crashing = Habit {
        kind: "crashing",
        path: Arc::new(move |_| path.clone()),
        ..reading.clone()
    };
    let mut clients = Vec::new();
    for index in 0..UPSTREAMS {
        let address = fleet.outbound(index);
        for (count, habit) in [(17, &reading), (2, &order)] {
            clients.extend(start_clients(
                index, address, count, habit, &attempts, &record, &stops,
            ));
        }
    }
    thread::sleep(Duration::from_secs(5));
    let begun = Instant::now();
    let mut away: HashMap<usize, Instant> = HashMap::new();
    let mut next_at = begun;
    let mut turn = 0;
    let mut senders = Vec::new();
    while begun.elapsed() < Duration::from_secs(50) {
        if has_trouble && Instant::now() >= next_at {
            next_at += Duration::from_millis(2_500);
            turn += 1;
            let (address, habit, attempts, record) = (
                fleet.outbound(turn % UPSTREAMS),
                crashing.clone(),
                attempts.clone(),
                record.clone(),
            );
            senders.push(thread::spawn(move || {
                let done = attempt(address, &habit, &mut None);
                record.write_at(
                    done.sent_us,
                    &format!("client: crashing {} answered {:?}", done.id, done.status),
                );
                attempts.lock().unwrap().push(done);
            }));
        }
        for index in 0..UPSTREAMS {
            if fleet.has_upstream_ended(index) {
                away.entry(index).or_insert_with(Instant::now);
            }
        }
        let back: Vec<usize> = away
            .iter()
            .filter(|(_, since)| since.elapsed() >= AWAY)
            .map(|(index, _)| *index)
            .collect();
        for index in back {
            away.remove(&index);
            starts[index] += 1;
            let id = format!("i-{index}-{}", starts[index]);
            fleet.start_upstream(index, &id, now_us() / 1_000, SLOTS, WORK_MS);
        }
        thread::sleep(Duration::from_millis(10));
    }
    stops.store(true, Ordering::SeqCst);
    for client in clients.into_iter().chain(senders) {
        let _ = client.join();
    }
    let lines = fleet.lines.lock().unwrap();
    let mut crashes: Vec<u64> = lines
        .iter()
        .filter(|(_, _, line)| line == "crashed")
        .map(|(_, at_us, _)| *at_us)
        .collect();
    crashes.sort_unstable();
    let runs_of = |id: &str| {
        let beginning = format!("run {id} ");
        lines
            .iter()
            .filter(|(_, _, line)| line.starts_with(&beginning))
            .count()
    };
    let attempts = attempts.lock().unwrap();
    let late_retries: usize = crashes.get(2).map_or(0, |third_us| {
        let late = attempts
            .iter()
            .filter(|it| it.kind == "crashing" && it.sent_us > third_us + CONTACT_US);
        late.filter(|it| runs_of(&it.id) > 0).count()
    });
    let orders = attempts.iter().filter(|it| it.kind == "order");
    let lost = orders
        .clone()
        .filter(|it| it.status != Some(200) && runs_of(&it.id) > 0);
    let result = format!(
        "upstreams crashed {} times by the request; {late_retries} retries, sent later than contact_s after the third crash, reached upstreams; \
         {} of {} unsafe requests of others ran and got no success; the rule {}",
        crashes.len(),
        lost.count(),
        orders.count(),
        if late_retries > 3 {
            "was broken"
        } else {
            "held"
        }
    );
    record.write(&result);
    println!("{result}");
    late_retries > 3
}
