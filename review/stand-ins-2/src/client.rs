//! Stand-ins for clients: each sends requests one after another on a kept connection.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use crate::{fleet::Record, message::Connection, upstream::now_us};

/// One client attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub kind: &'static str,
    pub sent_us: u64,
    /// The status of the answer; none if the connection ended without one.
    pub status: Option<u16>,
    pub is_signed: bool,
}

pub type Attempts = Arc<Mutex<Vec<Attempt>>>;

/// What a group of clients sends.
#[derive(Clone)]
pub struct Habit {
    pub deadline_ms: u64,
    pub kind: &'static str,
    pub method: &'static str,
    pub path: Arc<dyn Fn(u64) -> String + Send + Sync>,
    /// The time between two requests of a client.
    pub pause: Duration,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// Sends one request; opens a connection if there is none.
pub fn attempt(address: SocketAddr, habit: &Habit, connection: &mut Option<Connection>) -> Attempt {
    let number = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    let id = format!("{:08x}{number:08x}", std::process::id());
    let text = format!(
        "{} {} HTTP/1.1\r\nHost: mesh.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\n{}\r\n",
        habit.method,
        (habit.path)(number),
        habit.deadline_ms,
        if habit.method == "GET" {
            ""
        } else {
            "Content-Length: 0\r\n"
        }
    );
    let patience = Duration::from_millis(habit.deadline_ms + 1_000);
    if connection.is_none() {
        *connection = Connection::open(address, patience);
    }
    let sent_us = now_us();
    let answer = connection.as_mut().and_then(|open| {
        open.send(text.as_bytes()).then_some(())?;
        open.receive()
    });
    if answer
        .as_ref()
        .is_none_or(|answer| answer.closes_connection())
    {
        *connection = None;
    }
    Attempt {
        id,
        kind: habit.kind,
        sent_us,
        status: answer.as_ref().map(|answer| answer.status()),
        is_signed: answer
            .as_ref()
            .is_some_and(|answer| answer.header("Response-Signature").is_some()),
    }
}

/// Starts `count` clients on a machine, which send until `stops` is set.
pub fn start_clients(
    machine: usize,
    address: SocketAddr,
    count: usize,
    habit: &Habit,
    attempts: &Attempts,
    record: &Record,
    stops: &Arc<AtomicBool>,
) -> Vec<JoinHandle<()>> {
    (0..count)
        .map(|index| {
            let (habit, attempts, record, stops) = (
                habit.clone(),
                attempts.clone(),
                record.clone(),
                stops.clone(),
            );
            thread::spawn(move || {
                thread::sleep(habit.pause.mul_f64(index as f64 / count as f64));
                let mut connection = None;
                while !stops.load(Ordering::SeqCst) {
                    let begun = Instant::now();
                    let done = attempt(address, &habit, &mut connection);
                    record.write_at(
                        done.sent_us,
                        &format!(
                            "client on {machine}: {} {} answered {} after {} ms",
                            done.kind,
                            done.id,
                            done.status
                                .map_or_else(|| "nothing".into(), |status| status.to_string()),
                            begun.elapsed().as_millis()
                        ),
                    );
                    attempts.lock().unwrap().push(done);
                    thread::sleep(habit.pause.saturating_sub(begun.elapsed()));
                }
            })
        })
        .collect()
}
