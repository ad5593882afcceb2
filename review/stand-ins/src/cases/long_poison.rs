//! A request with a long body crashes each upstream that begins to run it, and its caller sends it again.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    cases::{Setting, Verdict, pause},
    client::{Client, ClientRequest, Sending},
    config::{RouteSpec, config_text},
    fleet::Fleet,
};

const HOST: &str = "sightings.example";
const MACHINES: usize = 6;

/// The path of the request, by which the upstreams know that it crashes them.
const POISON_PATH: &str = "/submit/poison";

/// The length of its body unless the environment names another one; `max_body_bytes` is 64 MiB.
const BODY_BYTES: usize = 300_000;

/// How long after its crash an upstream is back.
const DOWN_TIME: Duration = Duration::from_secs(2);

/// The pause of the caller between two attempts, and how long it goes on.
const ATTEMPT_INTERVAL: Duration = Duration::from_millis(900);
const CALLING_TIME: Duration = Duration::from_secs(40);

/// The pause of other clients between their requests.
const OTHERS_INTERVAL: Duration = Duration::from_millis(20);

/// `contact_s` of the settings.
const CONTACT_S: f64 = 3.0;

/// How many retries may reach upstreams after that.
const MAX_RETRIES: usize = 3;

pub fn run(setting: &Setting) -> Result<Verdict, String> {
    let record = &setting.record;
    let services = vec!["sightings"; MACHINES];
    let route = RouteSpec {
        hostname: HOST,
        is_safe: false,
        prefix: "/submit/",
        service: "sightings",
    };
    let config = config_text(1, &["sightings"], &[route]);
    let has_trouble = setting.has_trouble;
    let mut fleet = Fleet::start(record, &setting.root, &services, &config, |options| {
        if has_trouble {
            options.crash_mark = "poison".into();
        }
    })?;
    let bytes = std::env::var("BODY_BYTES").ok();
    let bytes = bytes.and_then(|text| text.parse().ok());
    let body = vec![b'p'; bytes.unwrap_or(BODY_BYTES)];
    record.say(&format!("the body has {} bytes", body.len()));
    let mut sent_at_s: HashMap<String, f64> = HashMap::new();
    let mut down: HashMap<usize, Instant> = HashMap::new();
    let others = start_others(&fleet);
    let started_at = Instant::now();
    let mut attempt = 0;
    while started_at.elapsed() < CALLING_TIME {
        let machine = &fleet.machines[attempt % MACHINES];
        attempt += 1;
        let id = format!("{attempt:016x}");
        record.line(&format!("sent {id} POST {POISON_PATH} to {}", machine.name));
        sent_at_s.insert(id.clone(), record.now_s());
        let outcome = Client::new(machine.outbound()).send(&ClientRequest {
            body: &body,
            deadline_ms: 3_000,
            host: HOST,
            id: &id,
            method: "POST",
            path: POISON_PATH,
            sending: Sending::InPieces(attempt as u64),
        });
        record.say(&format!("answered {id} {outcome}"));
        let paused_at = Instant::now();
        while paused_at.elapsed() < ATTEMPT_INTERVAL {
            revive(&mut fleet, &mut down)?;
            pause(Duration::from_millis(20))?;
        }
    }
    others.is_over.store(true, Ordering::SeqCst);
    pause(Duration::from_secs(1))?;
    let runs = fleet.runs.lock().unwrap().clone();
    let unserved = others.unserved.lock().unwrap().clone();
    let lost = unserved
        .iter()
        .filter(|id| runs.iter().any(|run| run.id == **id));
    let lost = lost.count();
    let poison_runs: Vec<_> = runs.iter().filter(|run| run.path == POISON_PATH).collect();
    if !has_trouble {
        return Ok(Verdict::Held(format!(
            "{attempt} attempts, {} runs, no crash",
            poison_runs.len()
        )));
    }
    for (index, machine) in fleet.machines.iter_mut().enumerate() {
        if !machine.is_daemon_alive() {
            return Err(format!("the daemon of machine {index} has ended"));
        }
    }
    for line in fleet.logged("target-down") {
        record.line(&format!("log of {line}"));
    }
    let Some(third) = poison_runs.get(2) else {
        return Ok(Verdict::Held(format!(
            "{attempt} attempts, {} of them reached an upstream",
            poison_runs.len()
        )));
    };
    let is_late = |id: &str| {
        sent_at_s
            .get(id)
            .is_some_and(|at_s| *at_s > third.at_s + CONTACT_S)
    };
    let late: Vec<_> = poison_runs.iter().filter(|run| is_late(&run.id)).collect();
    for run in &late {
        record.line(&format!(
            "late run {} at {:.3} s at upstream {}",
            run.id, run.at_s, run.upstream
        ));
    }
    let text = format!(
        "{attempt} attempts, {} crashes; {} retries that were sent later than {CONTACT_S} s after the third crash \
         reached an upstream, {MAX_RETRIES} are allowed; {lost} unsafe requests of others had begun to run and were lost",
        poison_runs.len(),
        late.len()
    );
    Ok(if late.len() > MAX_RETRIES {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    })
}

/// Clients that send usual requests meanwhile.
struct Others {
    is_over: Arc<AtomicBool>,
    /// The ids of the requests that were not served.
    unserved: Arc<Mutex<Vec<String>>>,
}

/// Starts a client on each machine that sends small unsafe requests one after another.
fn start_others(fleet: &Fleet) -> Others {
    let others = Others {
        is_over: Arc::default(),
        unserved: Arc::default(),
    };
    for (index, machine) in fleet.machines.iter().enumerate() {
        let (address, name, record) = (
            machine.outbound(),
            machine.name.clone(),
            fleet.record.clone(),
        );
        let (is_over, unserved) = (others.is_over.clone(), others.unserved.clone());
        thread::spawn(move || {
            let mut client = Client::new(address);
            let mut number = 0;
            while !is_over.load(Ordering::SeqCst) {
                number += 1;
                let id = format!("other-{index}-{number:06}");
                let path = format!("/submit/usual-{index}-{number}");
                record.line(&format!("sent {id} POST {path} to {name}"));
                let outcome = client.send(&ClientRequest {
                    body: b"a small body",
                    deadline_ms: 3_000,
                    host: HOST,
                    id: &id,
                    method: "POST",
                    path: &path,
                    sending: Sending::AtOnce,
                });
                record.line(&format!("answered {id} {outcome}"));
                if !outcome.is_served() {
                    unserved.lock().unwrap().push(id);
                }
                thread::sleep(OTHERS_INTERVAL);
            }
        });
    }
    others
}

/// Starts the upstreams again that crashed a while ago.
fn revive(fleet: &mut Fleet, down: &mut HashMap<usize, Instant>) -> Result<(), String> {
    for index in 0..fleet.machines.len() {
        if !fleet.machines[index].has_upstream_ended() {
            continue;
        }
        let since = *down.entry(index).or_insert_with(|| {
            let id = &fleet.machines[index].options.id;
            fleet.record.line(&format!("upstream {id} has crashed"));
            Instant::now()
        });
        if since.elapsed() >= DOWN_TIME {
            down.remove(&index);
            fleet.restart_upstream(index)?;
        }
    }
    Ok(())
}
