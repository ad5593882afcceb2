//! Upstreams answer long uploads before they have read them, keep the connection and read on.

use std::{
    io::{BufReader, Read, Write},
    net::TcpStream,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    cases::{Setting, Verdict, pause},
    config::{RouteSpec, config_text},
    fleet::{Fleet, Machine},
    http::{read, read_head},
    record::Record,
};

const HOST: &str = "sightings.example";
const MACHINES: usize = 3;
const UPLOADS: usize = 30;

/// A client sends a piece at a time, as its source delivers them.
const PIECE_BYTES: usize = 16_000;
const PIECES: usize = 60;
const PIECE_INTERVAL: Duration = Duration::from_millis(2);

/// The upstreams' answers, and how fast a client reads them: 64 Mbit/s.
const RESPONSE_BYTES: usize = 300_000;
const READ_BYTES: usize = 16_000;
const READ_INTERVAL: Duration = Duration::from_millis(2);

const READ_TIMEOUT: Duration = Duration::from_secs(8);

/// How often the rule permits a connection to be closed without an answer.
const PERMITTED: usize = 3;

pub fn run(setting: &Setting) -> Result<Verdict, String> {
    let record = &setting.record;
    let services = vec!["sightings"; MACHINES];
    let route = |prefix, is_safe| RouteSpec {
        hostname: HOST,
        is_safe,
        prefix,
        service: "sightings",
    };
    let routes = [route("/read/", true), route("/submit/", false)];
    let config = config_text(1, &["sightings"], &routes);
    let mut fleet = Fleet::start(record, &setting.root, &services, &config, |options| {
        options.response_bytes = RESPONSE_BYTES;
        if setting.has_trouble {
            options.early_mark = "/submit/".into();
        }
    })?;
    let (mut whole, mut cut) = (0, Vec::new());
    for number in 0..UPLOADS {
        let id = format!("{number:016x}");
        let machine = &fleet.machines[number % MACHINES];
        match upload(record, machine, number, &id) {
            Ok(status) => {
                whole += 1;
                record.line(&format!("answered {id} {status}, whole"));
            }
            Err(error) => {
                record.line(&format!("answered {id} not whole: {error}"));
                cut.push((id, error));
            }
        }
    }
    // The latest upstreams may still read.
    pause(Duration::from_secs(1))?;
    for machine in &mut fleet.machines {
        if !machine.is_daemon_alive() || machine.has_upstream_ended() {
            return Err(format!("a process of {} has ended", machine.name));
        }
    }
    let runs = fleet.runs.lock().unwrap().clone();
    cut.retain(|(id, _)| runs.iter().any(|run| run.id == *id));
    for (id, error) in &cut {
        record.say(&format!(
            "{id} ran, and its client, which is still there, gets no whole answer: {error}"
        ));
    }
    let text = format!(
        "{UPLOADS} uploads on kept connections, {whole} answered whole; {} ran and got no whole answer before their \
         connection was closed",
        cut.len()
    );
    Ok(if cut.len() > PERMITTED {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    })
}

/// Sends a small request and then an upload on one connection; returns the status of the upload's answer once all of
/// it was read.
fn upload(record: &Record, machine: &Machine, number: usize, id: &str) -> Result<u16, String> {
    let text = |error: std::io::Error| error.to_string();
    let mut stream = TcpStream::connect(machine.outbound()).map_err(text)?;
    stream.set_nodelay(true).map_err(text)?;
    stream.set_read_timeout(Some(READ_TIMEOUT)).map_err(text)?;
    stream.set_write_timeout(Some(READ_TIMEOUT)).map_err(text)?;
    let read_id = format!("{number:08x}-reading");
    record.line(&format!(
        "sent {read_id} GET /read/{number} to {}",
        machine.name
    ));
    let head = head("GET", &format!("/read/{number}"), &read_id, 0);
    stream.write_all(head.as_bytes()).map_err(text)?;
    let mut reader = BufReader::new(stream.try_clone().map_err(text)?);
    let answer = read(&mut reader).map_err(text)?;
    if answer.status() != 200 || answer.closes() {
        return Err(format!("the first request got {}", answer.status()));
    }
    record.line(&format!(
        "sent {id} POST /submit/{number} on the same connection"
    ));
    let is_answered = Arc::new(AtomicBool::new(false));
    let sending = thread::spawn({
        let (id, is_answered) = (id.to_owned(), is_answered.clone());
        move || send_upload(&mut stream, number, &id, &is_answered)
    });
    let answer = read_slowly(&mut reader, id);
    is_answered.store(true, Ordering::SeqCst);
    let _ = sending.join();
    answer
}

fn head(method: &str, path: &str, id: &str, length: usize) -> String {
    let length = if length == 0 {
        String::new()
    } else {
        format!("Content-Length: {length}\r\n")
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 3000\r\n{length}\r\n"
    )
}

/// Sends the upload in pieces while its answer is awaited by another thread.
fn send_upload(stream: &mut TcpStream, number: usize, id: &str, is_answered: &AtomicBool) {
    let path = format!("/submit/{number}");
    let head = head("POST", &path, id, PIECES * PIECE_BYTES);
    let mut is_sent = stream.write_all(head.as_bytes()).is_ok();
    let piece = vec![b'u'; PIECE_BYTES];
    for _ in 0..PIECES {
        // The answer may come before the body was sent, and the connection may end after it.
        if !is_sent || is_answered.load(Ordering::SeqCst) {
            return;
        }
        is_sent = stream.write_all(&piece).is_ok();
        thread::sleep(PIECE_INTERVAL);
    }
}

/// Reads an answer with a length, whole; returns its status.
fn read_slowly(reader: &mut BufReader<TcpStream>, id: &str) -> Result<u16, String> {
    let answer = read_head(reader).map_err(|error| format!("no answer: {error}"))?;
    let length: usize = answer
        .header("Content-Length")
        .and_then(|length| length.parse().ok())
        .ok_or("the answer has no length")?;
    let mut received = 0;
    let mut bytes = vec![0; READ_BYTES];
    while received < length {
        let wanted = READ_BYTES.min(length - received);
        match reader.read(&mut bytes[..wanted]) {
            Ok(0) => return Err(format!("closed after {received} of {length} bytes")),
            Ok(read) => received += read,
            Err(error) => return Err(format!("{error} after {received} of {length} bytes")),
        }
        thread::sleep(READ_INTERVAL);
    }
    let is_own = answer.header("Request-Id") == Some(id);
    let is_signed = answer.header("Response-Signature").is_some();
    if answer.status() >= 300 || (is_own && is_signed) {
        Ok(answer.status())
    } else {
        Err("the answer is not that of the request".into())
    }
}
