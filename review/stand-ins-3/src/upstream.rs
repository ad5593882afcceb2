//! A stand-in for an application upstream, with its heartbeats.

use std::{
    collections::HashMap,
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde_json::json;

use crate::{
    http::{Message, read, round_trip},
    record::Record,
};

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);

/// An acknowledgement counts if it arrives within a second.
const ACK_TIME: Duration = Duration::from_secs(1);

/// The length of a long answer's body, and a pause after two thirds of it.
const LONG_ANSWER_BYTES: usize = 300_000;
const LONG_ANSWER_PAUSE: Duration = Duration::from_millis(100);

/// One request that the upstream began to run.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub ended: bool,
    pub id: String,
    pub path: String,
}

/// What describes an upstream.
#[derive(Clone)]
pub struct Spec {
    pub address: SocketAddr,
    pub control: SocketAddr,
    /// Whether requests for `long_path` crash the upstream in the middle of their answer.
    pub crashes: bool,
    /// The path of requests whose answers are long; none if there are none.
    pub long_path: Option<String>,
    pub service: String,
    pub slots: usize,
    pub work: Duration,
    pub zone: String,
}

struct State {
    connections: Mutex<HashMap<u64, TcpStream>>,
    id: String,
    is_ended: AtomicBool,
    is_leaving: AtomicBool,
    born_ms: u64,
    next_connection: AtomicU64,
    record: Record,
    running: Mutex<usize>,
    runs: Mutex<Vec<Run>>,
    sequence: AtomicU64,
    spec: Spec,
}

/// One incarnation of an upstream.
#[derive(Clone)]
pub struct Upstream(Arc<State>);

impl Upstream {
    /// Starts an upstream and announces it until the first acknowledgement.
    pub fn start(spec: Spec, id: &str, record: &Record) -> Self {
        let listener = loop {
            match TcpListener::bind(spec.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(20)),
            }
        };
        listener
            .set_nonblocking(true)
            .expect("a listener can be polled");
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let state = Arc::new(State {
            born_ms: u64::try_from(since_epoch.as_millis()).unwrap_or_default(),
            connections: Mutex::default(),
            id: id.into(),
            is_ended: AtomicBool::new(false),
            is_leaving: AtomicBool::new(false),
            next_connection: AtomicU64::new(0),
            record: record.clone(),
            running: Mutex::default(),
            runs: Mutex::default(),
            sequence: AtomicU64::new(0),
            spec,
        });
        record.line(&format!("upstream {id} starts"));
        let accepting = state.clone();
        thread::spawn(move || accepting.accept(&listener));
        let upstream = Self(state);
        while !upstream.heartbeat() {
            thread::sleep(Duration::from_millis(50));
        }
        let beating = upstream.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(HEARTBEAT_INTERVAL);
                if beating.0.is_ended.load(Ordering::SeqCst) {
                    return;
                }
                beating.heartbeat();
            }
        });
        upstream
    }

    /// Sends a heartbeat; returns whether it was acknowledged.
    fn heartbeat(&self) -> bool {
        let state = &self.0;
        let sequence = state.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let is_leaving = state.is_leaving.load(Ordering::SeqCst);
        let body = json!({
            "service": state.spec.service, "address": state.spec.address.to_string(), "zone": state.spec.zone,
            "version": "v1", "slots": state.spec.slots, "state": if is_leaving { "draining" } else { "ready" },
            "cold_remaining_s": 0, "sequence": sequence, "born": state.born_ms,
        });
        self.control_call("Heartbeat", &body.to_string())
    }

    fn control_call(&self, name: &str, body: &str) -> bool {
        let text = format!(
            "POST /v1/Instances.{name}/{} HTTP/1.1\r\nHost: control\r\nContent-Type: application/json\r\n\
             Content-Length: {}\r\n\r\n{body}",
            self.0.id,
            body.len()
        );
        let answer = round_trip(self.0.spec.control, &text, ACK_TIME);
        answer.is_some_and(|answer| (200..300).contains(&answer.status()))
    }

    /// Returns whether the upstream has ended, as by a crash.
    pub fn has_ended(&self) -> bool {
        self.0.is_ended.load(Ordering::SeqCst)
    }

    /// Says that the upstream leaves, until that is acknowledged; returns when it was.
    pub fn drain(&self) -> Instant {
        self.0.is_leaving.store(true, Ordering::SeqCst);
        self.0
            .record
            .line(&format!("upstream {} says draining", self.0.id));
        while !self.heartbeat() {
            thread::sleep(Duration::from_millis(50));
        }
        self.0
            .record
            .line(&format!("upstream {}: draining is acknowledged", self.0.id));
        Instant::now()
    }

    /// Deregisters the upstream and ends it.
    pub fn leave(&self) {
        let body = json!({"born": self.0.born_ms}).to_string();
        let is_acknowledged = self.control_call("Deregister", &body);
        let text = format!(
            "upstream {} deregisters (acknowledged: {is_acknowledged}) and ends",
            self.0.id
        );
        self.0.record.line(&text);
        self.end();
    }

    /// Ends the process as a crash does: nothing listens any more, and all connections end.
    pub fn crash(&self) {
        self.0
            .record
            .line(&format!("upstream {} crashes", self.0.id));
        self.end();
    }

    fn end(&self) {
        self.0.end();
    }

    /// Returns the requests that the upstream began to run.
    pub fn runs(&self) -> Vec<Run> {
        self.0.runs.lock().unwrap().clone()
    }

    /// Returns how many requests run now.
    pub fn running_count(&self) -> usize {
        *self.0.running.lock().unwrap()
    }
}

impl State {
    /// Ends as a process does: its listener first, and then its connections.
    fn end(&self) {
        self.is_ended.store(true, Ordering::SeqCst);
        // The accepting thread drops its listener within a millisecond.
        thread::sleep(Duration::from_millis(5));
        for (_, connection) in self.connections.lock().unwrap().drain() {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        while !self.is_ended.load(Ordering::SeqCst) {
            let Ok((stream, _)) = listener.accept() else {
                thread::sleep(Duration::from_micros(300));
                continue;
            };
            let _ = stream.set_nonblocking(false);
            let _ = stream.set_nodelay(true);
            let number = self.next_connection.fetch_add(1, Ordering::SeqCst);
            if let Ok(copy) = stream.try_clone() {
                self.connections.lock().unwrap().insert(number, copy);
            }
            let serving = self.clone();
            thread::spawn(move || {
                serving.serve(&stream);
                serving.connections.lock().unwrap().remove(&number);
                let _ = stream.shutdown(Shutdown::Both);
            });
        }
    }

    fn serve(&self, stream: &TcpStream) {
        let mut reader = BufReader::new(stream);
        let mut writer = stream;
        while let Some(request) = read(&mut reader) {
            if self.is_ended.load(Ordering::SeqCst) {
                return;
            }
            let answer = if request.second_word() == "/health" {
                self.health()
            } else {
                match self.run(&request) {
                    Some(answer) => answer,
                    None => return,
                }
            };
            let is_long = self.spec.long_path.as_deref() == Some(request.second_word());
            if is_long && !answer.contains("Not-Executed") {
                if !self.answer_at_length(&request, writer) {
                    return;
                }
                continue;
            }
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Sends a long answer, and crashes in the middle of it if such requests do that; returns whether it was sent whole.
    fn answer_at_length(&self, request: &Message, mut writer: &TcpStream) -> bool {
        let id = request.header("Request-Id").unwrap_or_default();
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s-{id}\r\nServer-Load: {}\r\nContent-Length: {LONG_ANSWER_BYTES}\r\n\r\n",
            self.load()
        );
        let body = "x".repeat(LONG_ANSWER_BYTES);
        let (first, rest) = body.split_at(LONG_ANSWER_BYTES / 3 * 2);
        if writer.write_all((head + first).as_bytes()).is_err() {
            return false;
        }
        thread::sleep(LONG_ANSWER_PAUSE);
        if self.spec.crashes {
            let text = format!(
                "upstream {} crashes at {id} {}",
                self.id,
                request.second_word()
            );
            self.record.line(&text);
            self.end();
            return false;
        }
        writer.write_all(rest.as_bytes()).is_ok()
    }

    fn health(&self) -> String {
        let status = if self.is_leaving.load(Ordering::SeqCst) {
            503
        } else {
            200
        };
        format!(
            "HTTP/1.1 {status} X\r\nInstance-Id: {}\r\nServer-Load: {}\r\nContent-Length: 0\r\n\r\n",
            self.id,
            self.load()
        )
    }

    fn load(&self) -> String {
        format!("{},0,{}", *self.running.lock().unwrap(), self.spec.slots)
    }

    /// Runs a request; none if the upstream ended meanwhile.
    fn run(&self, request: &Message) -> Option<String> {
        let id = request.header("Request-Id").unwrap_or_default().to_owned();
        let named = request.header("Target-Instance").unwrap_or(&self.id);
        if named != self.id {
            self.record
                .line(&format!("upstream {}: {id} is for {named}: 421", self.id));
            return Some(format!(
                "HTTP/1.1 421 X\r\nInstance-Id: {}\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n",
                self.id
            ));
        }
        {
            let mut running = self.running.lock().unwrap();
            if *running >= self.spec.slots {
                return Some(format!(
                    "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                ));
            }
            *running += 1;
        }
        let index = {
            let mut runs = self.runs.lock().unwrap();
            runs.push(Run {
                at: Instant::now(),
                ended: false,
                id: id.clone(),
                path: request.second_word().into(),
            });
            runs.len() - 1
        };
        self.record.line(&format!(
            "upstream {} begins to run {id} {}",
            self.id,
            request.second_word()
        ));
        thread::sleep(self.spec.work);
        *self.running.lock().unwrap() -= 1;
        if self.is_ended.load(Ordering::SeqCst) {
            return None;
        }
        self.runs.lock().unwrap()[index].ended = true;
        self.record
            .line(&format!("upstream {} has run {id}", self.id));
        let body = format!("{} ran {id}", self.id);
        Some(format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s-{id}\r\nServer-Load: {}\r\nContent-Length: {}\r\n\r\n{body}",
            self.load(),
            body.len()
        ))
    }
}
