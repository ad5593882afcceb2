//! A stand-in for an application upstream, as a process of its own: `upstream JSON`.
//!
//! It writes one line to standard output for each thing that it sees, with the time in microseconds: `run`, `end`,
//! `refused`, `ack`. Lines on standard input are orders: `drain`, `leave`.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use serde_json::{Value, json};

use crate::message::{read, round_trip};

/// How many requests an upstream queues besides those that it runs.
const QUEUE: u64 = 24;

pub struct Upstream {
    address: SocketAddr,
    /// The Unix millisecond of the start, by the clock of the upstream's machine.
    born: u64,
    control: SocketAddr,
    id: String,
    is_draining: AtomicBool,
    running: AtomicU64,
    sequence: Mutex<u64>,
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
        running: AtomicU64::new(0),
        sequence: Mutex::new(0),
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
                    thread::sleep(Duration::from_millis(100));
                }
                tell("ack draining");
            }
            "leave" => {
                let body = json!({"born": upstream.born, "sequence": upstream.next_sequence()});
                let status = upstream.control("Instances.Deregister", &body);
                tell(&format!("ack gone {status}"));
                return Some(());
            }
            _ => {}
        }
    }
    Some(())
}

impl Upstream {
    fn next_sequence(&self) -> u64 {
        let mut sequence = self.sequence.lock().unwrap();
        *sequence += 1;
        *sequence
    }

    /// Sends a heartbeat; returns whether it was acknowledged.
    fn beat(&self) -> bool {
        let state = if self.is_draining.load(Ordering::SeqCst) {
            "draining"
        } else {
            "ready"
        };
        let body = json!({
            "address": self.address.to_string(), "born": self.born, "cold_remaining_s": 0,
            "sequence": self.next_sequence(), "service": self.service, "slots": self.slots,
            "state": state, "version": "v1", "zone": "z-a",
        });
        let status = self.control("Instances.Heartbeat", &body);
        tell(&format!(
            "beat {state} born {} answered {status}",
            self.born
        ));
        (200..300).contains(&status)
    }

    fn control(&self, call: &str, body: &Value) -> u16 {
        let body = body.to_string();
        let text = format!(
            "POST /v1/{call}/{} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            self.id,
            self.control,
            body.len()
        );
        round_trip(self.control, &text, Duration::from_secs(1)).map_or(0, |answer| answer.status())
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
                let status = if self.is_draining.load(Ordering::SeqCst) {
                    503
                } else {
                    200
                };
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
            thread::sleep(Duration::from_millis(self.work_ms));
            self.running.fetch_sub(1, Ordering::SeqCst);
            let body = format!("{} ran {id}", self.id);
            let answer = format!(
                "HTTP/1.1 200 OK\r\n{head}Response-Signature: s-{id}-{}\r\nContent-Length: {}\r\n\r\n{body}",
                self.id,
                body.len()
            );
            let is_answered = writer.write_all(answer.as_bytes()).is_ok();
            tell(&format!("end {id}"));
            if !is_answered {
                return;
            }
        }
    }
}
