//! A stand-in for an application upstream, as a process of its own: `upstream JSON`.
//!
//! It writes one line to standard output for each thing that it sees, with the time in microseconds: `run`, `end`,
//! `refused`, `spoiled`, `acknowledged`. It takes orders from standard input: `garble` makes it spoil [`SPOILED_PER_MILLE`]
//! of its answers until `sound`, with `drain` it says that it leaves, and with `leave` it deregisters and ends.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use serde_json::{Value, json};

use crate::message::{read, round_trip};

/// How many requests an upstream queues besides those that it runs.
const QUEUE: u64 = 24;

/// How many of 1000 answers a faulty upstream spoils.
const SPOILED_PER_MILLE: u64 = 20;

/// The name of the signature's header with the lowest bit of its letters turned.
const SPOILED_NAME: &str = "Sdrqnord-Rhfo`utsd";

pub struct Upstream {
    address: SocketAddr,
    /// The Unix millisecond of the start, by the clock of the upstream's machine.
    born: u64,
    control: SocketAddr,
    id: String,
    is_draining: AtomicBool,
    is_faulty: AtomicBool,
    run_count: AtomicU64,
    running: AtomicU64,
    sequence: AtomicU64,
    service: String,
    slots: u64,
    work_ms: u64,
}

pub fn now_us() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_micros()).unwrap_or_default()
}

fn tell(line: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{} {line}", now_us());
    let _ = out.flush();
}

/// Runs until the order to leave, or until the process is killed.
pub fn run(settings: &str) -> Option<()> {
    let settings: Value = serde_json::from_str(settings).ok()?;
    let text = |name: &str| settings[name].as_str().map(str::to_owned);
    let upstream = Arc::new(Upstream {
        address: text("address")?.parse().ok()?,
        born: settings["born"].as_u64()?,
        control: text("control")?.parse().ok()?,
        id: text("id")?,
        is_draining: AtomicBool::new(false),
        is_faulty: AtomicBool::new(false),
        run_count: AtomicU64::new(0),
        running: AtomicU64::new(0),
        sequence: AtomicU64::new(0),
        service: text("service")?,
        slots: settings["slots"].as_u64()?,
        work_ms: settings["work_ms"].as_u64()?,
    });
    let listener = TcpListener::bind(upstream.address).ok()?;
    tell("start");
    let serving = upstream.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serving = serving.clone();
            thread::spawn(move || serving.serve(&stream));
        }
    });
    let beating = upstream.clone();
    thread::spawn(move || {
        loop {
            beating.beat();
            thread::sleep(Duration::from_millis(1_500));
        }
    });
    for line in std::io::stdin().lines().map_while(Result::ok) {
        match line.as_str() {
            "drain" => {
                upstream.is_draining.store(true, Ordering::SeqCst);
                while !upstream.beat() {
                    thread::sleep(Duration::from_millis(200));
                }
                tell("acknowledged draining");
            }
            "leave" => {
                upstream.call(
                    "Deregister",
                    &json!({"born": upstream.born, "sequence": upstream.next_sequence()}),
                );
                return Some(());
            }
            "garble" => upstream.is_faulty.store(true, Ordering::SeqCst),
            "sound" => upstream.is_faulty.store(false, Ordering::SeqCst),
            _ => {}
        }
    }
    Some(())
}

impl Upstream {
    fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, Ordering::SeqCst) + 1
    }

    /// Sends a heartbeat; returns whether it was acknowledged.
    fn beat(&self) -> bool {
        let is_draining = self.is_draining.load(Ordering::SeqCst);
        let body = json!({
            "address": self.address.to_string(), "born": self.born, "cold_remaining_s": 0,
            "sequence": self.next_sequence(), "service": self.service, "slots": self.slots,
            "state": if is_draining { "draining" } else { "ready" }, "version": "v1", "zone": "z-a",
        });
        self.call("Heartbeat", &body)
    }

    /// Makes a call to the daemon beside this upstream; returns whether it was acknowledged.
    fn call(&self, name: &str, body: &Value) -> bool {
        let text = body.to_string();
        let text = format!(
            "POST /v1/Instances.{name}/{} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
            self.id,
            self.control,
            text.len()
        );
        let answer = round_trip(self.control, &text, Duration::from_secs(1));
        let status = answer.map_or(0, |answer| answer.status());
        tell(&format!("{name} {body} answered {status}"));
        (200..300).contains(&status)
    }

    fn serve(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Some(request) = read(&mut reader) {
            let mut writer = stream;
            let load = format!(
                "Server-Load: {},0,{}\r\n",
                self.running.load(Ordering::SeqCst),
                self.slots
            );
            if request.target() == "/health" {
                let is_draining = self.is_draining.load(Ordering::SeqCst);
                let status = if is_draining { 503 } else { 200 };
                let answer = format!(
                    "HTTP/1.1 {status} X\r\nInstance-Id: {}\r\n{load}Content-Length: 0\r\n\r\n",
                    self.id
                );
                if writer.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let id = request.header("Request-Id").unwrap_or_default().to_owned();
            let expected = request.header("Target-Instance").unwrap_or(&self.id);
            let refusal = if expected != self.id {
                Some((421, ""))
            } else if id.is_empty() {
                Some((400, "Not-Executed: 1\r\n"))
            } else if self.running.load(Ordering::SeqCst) >= self.slots + QUEUE {
                Some((503, "Not-Executed: 1\r\n"))
            } else {
                None
            };
            let head = format!("Request-Id: {id}\r\nInstance-Id: {}\r\n{load}", self.id);
            if let Some((status, mark)) = refusal {
                tell(&format!("refused {id} {status}"));
                let answer =
                    format!("HTTP/1.1 {status} X\r\n{head}{mark}Content-Length: 0\r\n\r\n");
                if writer.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            self.running.fetch_add(1, Ordering::SeqCst);
            tell(&format!(
                "run {id} {} {}",
                request.method(),
                request.target()
            ));
            if request.target().contains("crash") {
                thread::sleep(Duration::from_millis(20));
                tell("crashed");
                std::process::abort();
            }
            thread::sleep(Duration::from_millis(self.work_ms));
            self.running.fetch_sub(1, Ordering::SeqCst);
            let body = format!("{} ran {id}", self.id);
            let run_count = self.run_count.fetch_add(1, Ordering::SeqCst);
            let is_spoiled = self.is_faulty.load(Ordering::SeqCst)
                && run_count * SPOILED_PER_MILLE % 1_000 < SPOILED_PER_MILLE;
            // A wrong bit in each byte of a header's name: what arrives isn't the upstream's response any more.
            let name = if is_spoiled {
                SPOILED_NAME
            } else {
                "Response-Signature"
            };
            let answer = format!(
                "HTTP/1.1 200 OK\r\n{head}{name}: s-{id}-{}\r\nContent-Length: {}\r\n\r\n{body}",
                self.id,
                body.len()
            );
            let is_answered = writer.write_all(answer.as_bytes()).is_ok();
            tell(&format!(
                "{} {id}",
                if is_spoiled { "spoiled" } else { "end" }
            ));
            if !is_answered {
                return;
            }
        }
    }
}
