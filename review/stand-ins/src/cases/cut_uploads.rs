//! Clients leave in the middle of their uploads, which are sent in chunks.

use std::{
    collections::HashMap,
    io::{BufReader, Write},
    net::TcpStream,
    thread,
    time::Duration,
};

use crate::{
    cases::{Setting, Verdict, pause},
    config::{RouteSpec, config_text},
    fleet::{Fleet, Machine},
    http::read,
    record::Record,
};

const HOST: &str = "sightings.example";
const MACHINES: usize = 3;

/// The uploads, and which of ten their clients give up.
const UPLOADS: usize = 20;
const GIVEN_UP_OF_TEN: [usize; 3] = [2, 5, 8];

/// A client sends a chunk at a time, as its source delivers them.
const CHUNK_BYTES: usize = 16_000;
const CHUNKS: usize = 40;
const CHUNK_INTERVAL: Duration = Duration::from_millis(20);

/// After how many chunks a client leaves: after 0.4 s, less than half of the route's target latency.
const CHUNKS_BEFORE_LEAVING: usize = 20;

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
    let mut fleet = Fleet::start(record, &setting.root, &services, &config, |_| {})?;
    let mut sent_bytes: HashMap<String, usize> = HashMap::new();
    for number in 0..UPLOADS {
        let leaves = setting.has_trouble && GIVEN_UP_OF_TEN.contains(&(number % 10));
        let id = format!("{number:016x}");
        let machine = &fleet.machines[number % MACHINES];
        let sent = upload(record, machine, number, &id, leaves);
        sent_bytes.insert(id, sent.map_err(|error| error.to_string())?);
    }
    pause(Duration::from_secs(4))?;
    for machine in &mut fleet.machines {
        if !machine.is_daemon_alive() || machine.has_upstream_ended() {
            return Err(format!("a process of {} has ended", machine.name));
        }
    }
    let runs = fleet.runs.lock().unwrap().clone();
    let whole = CHUNKS * CHUNK_BYTES;
    let mut changed = 0;
    for run in &runs {
        let sent = sent_bytes.get(&run.id).copied().unwrap_or_default();
        if run.body_bytes != whole {
            changed += 1;
            record.say(&format!(
                "{} ran {} as a whole request with a body of {} bytes; its client sent {sent} of {whole} bytes and no end",
                run.upstream, run.id, run.body_bytes
            ));
        }
    }
    let given_up = sent_bytes.values().filter(|sent| **sent < whole).count();
    let text = format!(
        "{UPLOADS} uploads, {given_up} given up in the middle, {} run, {changed} of these with a changed body",
        runs.len()
    );
    Ok(if changed > 0 {
        Verdict::Broken(text)
    } else {
        Verdict::Held(text)
    })
}

/// Sends an upload in chunks, or the beginning of it; returns how many bytes of its body were sent.
fn upload(
    record: &Record,
    machine: &Machine,
    number: usize,
    id: &str,
    leaves: bool,
) -> std::io::Result<usize> {
    let mut stream = TcpStream::connect(machine.outbound())?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    record.line(&format!(
        "sending {id} POST /submit/{number} to {}",
        machine.name
    ));
    let head = format!(
        "POST /submit/{number} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 3000\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    let chunk = vec![b'u'; CHUNK_BYTES];
    for index in 0..CHUNKS {
        if leaves && index == CHUNKS_BEFORE_LEAVING {
            let sent = index * CHUNK_BYTES;
            record.say(&format!("the client of {id} leaves after {sent} bytes"));
            return Ok(sent);
        }
        let framed = [format!("{CHUNK_BYTES:x}\r\n").as_bytes(), &chunk, b"\r\n"].concat();
        stream.write_all(&framed)?;
        thread::sleep(CHUNK_INTERVAL);
    }
    stream.write_all(b"0\r\n\r\n")?;
    let answer = read(&mut BufReader::new(&stream))?;
    record.line(&format!("answered {id} {}", answer.status()));
    Ok(CHUNKS * CHUNK_BYTES)
}
