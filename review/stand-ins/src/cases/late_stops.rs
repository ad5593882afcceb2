//! Two daemons of a zone are stopped at a time, as planned, while clients go on as the platform lets them.

use std::{
    collections::HashMap,
    io::{self, BufReader, Write},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    cases::{Setting, Verdict, pause},
    config::{RouteSpec, config_text},
    fleet::{Fleet, readiness},
    http::{Message, read},
    record::Record,
};

const HOST: &str = "atlas.example";

/// Machines are placed in three zones in turn: 0, 3 and 6 are those of the first zone.
const SERVICES: [&str; 9] = [
    "recherche",
    "reservations",
    "reservations",
    "recherche",
    "reservations",
    "reservations",
    "recherche",
    "reservations",
    "reservations",
];
const ZONE: [usize; 3] = [0, 3, 6];

/// The machines of the zone whose daemons are stopped together, two at a time.
const STOPPED: [usize; 2] = [0, 3];

/// The figures of `booking-create` in the site file: most runs take the mean time, one in 100 nearly the longest.
const WORK: Duration = Duration::from_millis(160);
const LONG_WORK: Duration = Duration::from_millis(1_150);
const LONG_EVERY: usize = 100;
const SLOTS: usize = 9;
const DEADLINE_MS: u32 = 3_000;

const CLIENTS_PER_MACHINE: usize = 15;
const ROUNDS: usize = 7;

/// `grace_s`, and the time after SIGTERM up to which a request isn't counted if its upstream is at work to the last.
const GRACE: Duration = Duration::from_secs(6);
const EXCUSED_UNTIL_S: f64 = 3.0;

const READ_TIMEOUT: Duration = Duration::from_secs(8);

/// A request whose connection ended without a complete answer.
struct Cut {
    error: String,
    id: String,
    /// The place of its machine in the zone.
    place: usize,
    sent_at_s: f64,
}

/// What the clients share.
struct Clients {
    /// Whether the platform lets clients of the zone's machines send new requests.
    are_admitted: [AtomicBool; ZONE.len()],
    cuts: Mutex<Vec<Cut>>,
    has_ended: AtomicBool,
    next: AtomicUsize,
    record: Record,
    statuses: Mutex<HashMap<u16, usize>>,
}

pub fn run(setting: &Setting) -> Result<Verdict, String> {
    let record = &setting.record;
    let route = RouteSpec {
        hostname: HOST,
        is_safe: false,
        prefix: "/book/",
        service: "reservations",
    };
    let config = config_text(1, &["recherche", "reservations"], &[route]);
    let mut fleet = Fleet::start(record, &setting.root, &SERVICES, &config, |options| {
        options.slots = SLOTS;
        options.work = WORK;
        options.long_every = LONG_EVERY;
        options.long_work = LONG_WORK;
    })?;
    let clients = Arc::new(Clients {
        are_admitted: std::array::from_fn(|_| AtomicBool::new(true)),
        cuts: Mutex::default(),
        has_ended: AtomicBool::new(false),
        next: AtomicUsize::new(0),
        record: record.clone(),
        statuses: Mutex::default(),
    });
    let mut threads = Vec::new();
    for (place, index) in ZONE.into_iter().enumerate() {
        let ip = fleet.machines[index].ip();
        let outbound = SocketAddrV4::new(ip, fleet.machines[index].outbound().port());
        for _ in 0..CLIENTS_PER_MACHINE {
            let clients = clients.clone();
            threads.push(thread::spawn(move || {
                clients.send_requests(place, outbound, ip);
            }));
        }
    }
    let readiness = ZONE.map(|index| fleet.machines[index].readiness_address());
    let asking = clients.clone();
    threads.push(thread::spawn(move || asking.ask_for_readiness(readiness)));
    let stops = stop_daemons(setting, &mut fleet);
    clients.has_ended.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let stops = stops?;
    for machine in &mut fleet.machines {
        if !machine.is_daemon_alive() || machine.has_upstream_ended() {
            return Err(format!("a process of {} has ended", machine.name));
        }
    }
    let runs = fleet.runs.lock().unwrap().clone();
    let mut counted = 0;
    for cut in clients.cuts.lock().unwrap().iter() {
        let run = runs.iter().find(|run| run.id == cut.id);
        let stop = stops
            .iter()
            .rev()
            .find(|(at_s, index)| *at_s <= cut.sent_at_s && ZONE[cut.place] == *index);
        let after_s = stop.map(|(at_s, _)| cut.sent_at_s - at_s);
        // Without trouble, every cut counts.
        let is_counted = run.is_some() && after_s.is_none_or(|after_s| after_s > EXCUSED_UNTIL_S);
        counted += usize::from(is_counted);
        let after = after_s.map_or("before any SIGTERM".into(), |after_s| {
            format!("{after_s:.3} s after SIGTERM")
        });
        let ran = run.map_or("did not run".into(), |run| {
            format!("ran at {}", run.upstream)
        });
        let say = format!(
            "{} was sent {after}, {ran}, and got no answer: {}",
            cut.id, cut.error
        );
        if is_counted {
            record.say(&say);
        } else {
            record.line(&format!("not counted: {say}"));
        }
    }
    let statuses = clients.statuses.lock().unwrap();
    let text = format!(
        "{} requests, statuses {statuses:?}; {counted} that were sent later than 3 s after SIGTERM ran and got no answer",
        clients.next.load(Ordering::SeqCst)
    );
    Ok(if counted > 0 {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    })
}

/// Stops the daemons several times, and starts each again when it has ended; returns when SIGTERM was sent to which
/// machine.
fn stop_daemons(setting: &Setting, fleet: &mut Fleet) -> Result<Vec<(f64, usize)>, String> {
    let record = &setting.record;
    let mut stops = Vec::new();
    for _ in 0..ROUNDS {
        pause(Duration::from_secs(4))?;
        if !setting.has_trouble {
            pause(GRACE)?;
            continue;
        }
        let mut stopping = STOPPED.to_vec();
        for index in STOPPED {
            let machine = &fleet.machines[index];
            stops.push((record.now_s(), index));
            record.say(&format!("SIGTERM to the daemon of {}", machine.name));
            machine.terminate_daemon()?;
        }
        let deadline = Instant::now() + GRACE;
        while !stopping.is_empty() {
            for index in std::mem::take(&mut stopping) {
                let machine = &mut fleet.machines[index];
                if Instant::now() > deadline {
                    record.say(&format!("SIGKILL to the daemon of {}", machine.name));
                    machine.kill_daemon();
                }
                if machine.is_daemon_alive() {
                    stopping.push(index);
                } else {
                    record.line(&format!("the daemon of {} has ended", machine.name));
                    fleet.restart_daemon(&setting.root, index)?;
                }
            }
            pause(Duration::from_millis(10))?;
        }
        fleet.wait_until_ready()?;
    }
    pause(Duration::from_secs(4))?;
    Ok(stops)
}

impl Clients {
    /// Asks the daemons of the zone once a second whether they are ready, as the platform does. After two misses the
    /// clients of a machine get no new work, unless fewer than half of the zone's daemons are in.
    fn ask_for_readiness(&self, addresses: [SocketAddr; ZONE.len()]) {
        let mut misses = [0; ZONE.len()];
        while !self.has_ended.load(Ordering::SeqCst) {
            let asked_at = Instant::now();
            for (misses, address) in misses.iter_mut().zip(addresses) {
                *misses = if readiness(address) == 200 {
                    0
                } else {
                    *misses + 1
                };
            }
            let is_in = misses.map(|misses| misses < 2);
            let in_count = is_in.iter().filter(|is_in| **is_in).count();
            let admits_all = in_count * 2 < ZONE.len();
            for (is_admitted, is_in) in self.are_admitted.iter().zip(is_in) {
                is_admitted.store(is_in || admits_all, Ordering::SeqCst);
            }
            self.record
                .line(&format!("ready: {is_in:?}, all admitted: {admits_all}"));
            thread::sleep(Duration::from_secs(1).saturating_sub(asked_at.elapsed()));
        }
    }

    /// Sends one request after another, as a client of the machine does, which has the machine's address.
    fn send_requests(&self, place: usize, outbound: SocketAddrV4, ip: Ipv4Addr) {
        while !self.has_ended.load(Ordering::SeqCst) {
            if !self.are_admitted[place].load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(20));
                continue;
            }
            let Ok(stream) = crate::client::connect_from(ip, outbound) else {
                // Nothing listens while the daemon is down.
                thread::sleep(Duration::from_millis(50));
                continue;
            };
            let number = self.next.fetch_add(1, Ordering::SeqCst);
            let id = format!("{number:016x}");
            let sent_at_s = self.record.now_s();
            self.record
                .line(&format!("sent {id} POST /book/{number} to {outbound}"));
            match exchange(&stream, number, &id) {
                Ok(answer) => {
                    let status = answer.status();
                    self.record.line(&format!("answered {id} {status}"));
                    *self.statuses.lock().unwrap().entry(status).or_default() += 1;
                    if status == 503 {
                        let wait = answer
                            .header("Retry-After")
                            .and_then(|wait| wait.parse().ok());
                        thread::sleep(Duration::from_secs_f64(wait.unwrap_or(0.05)));
                    }
                }
                Err(error) => {
                    self.record.line(&format!("answered {id} no: {error}"));
                    let error = error.to_string();
                    self.cuts.lock().unwrap().push(Cut {
                        error,
                        id,
                        place,
                        sent_at_s,
                    });
                }
            }
        }
    }
}

/// Sends a request whole, and reads its answer.
fn exchange(mut stream: &TcpStream, number: usize, id: &str) -> io::Result<Message> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    let text = format!(
        "POST /book/{number} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {DEADLINE_MS}\r\n\
         Content-Length: 4\r\n\r\nbook"
    );
    stream.write_all(text.as_bytes())?;
    read(&mut BufReader::new(stream))
}
