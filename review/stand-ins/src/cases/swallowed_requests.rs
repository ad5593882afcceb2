//! Clients leave in the middle of their uploads, which have a length. The upstream answers uploads before it has read
//! them, keeps the connection and reads on.

use std::{
    io::{BufReader, Write},
    net::TcpStream,
    thread,
    time::Duration,
};

use crate::{
    cases::{Setting, Verdict, pause},
    client::{Client, ClientRequest, Sending},
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

/// A client sends a piece at a time, as its source delivers them.
const PIECE_BYTES: usize = 16_000;
const PIECES: usize = 40;
const PIECE_INTERVAL: Duration = Duration::from_millis(20);

/// After how many pieces a client leaves: after 0.4 s, less than half of the route's target latency.
const PIECES_BEFORE_LEAVING: usize = 20;

/// How long an upstream works before it answers an upload.
const WORK: Duration = Duration::from_millis(600);

/// How long after the latest upload others send their requests.
const READ_AFTER: Duration = Duration::from_millis(600);

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
        options.early_mark = "/submit/".into();
        options.work = WORK;
    })?;
    let (mut reads, mut unanswered) = (0, 0);
    for number in 0..UPLOADS {
        let leaves = setting.has_trouble && GIVEN_UP_OF_TEN.contains(&(number % 10));
        let machine = &fleet.machines[number % MACHINES];
        upload(record, machine, number, leaves).map_err(|error| error.to_string())?;
        pause(READ_AFTER)?;
        let readers = fleet.machines.iter().enumerate().map(|(index, machine)| {
            let (address, name) = (machine.outbound(), machine.name.clone());
            let record = record.clone();
            thread::spawn(move || {
                let id = format!("{number:08x}-read-{index}");
                let path = format!("/read/{number}-{index}");
                record.line(&format!("sent {id} GET {path} to {name}"));
                let outcome = Client::new(address).send(&ClientRequest {
                    body: &[],
                    deadline_ms: 3_000,
                    host: HOST,
                    id: &id,
                    method: "GET",
                    path: &path,
                    sending: Sending::AtOnce,
                });
                record.line(&format!("answered {id} {outcome}"));
                outcome.is_served()
            })
        });
        let readers: Vec<_> = readers.collect();
        for reader in readers {
            reads += 1;
            unanswered += usize::from(!reader.join().unwrap_or_default());
        }
    }
    for machine in &mut fleet.machines {
        if !machine.is_daemon_alive() || machine.has_upstream_ended() {
            return Err(format!("a process of {} has ended", machine.name));
        }
    }
    let foreign = fleet.foreign.lock().unwrap().clone();
    for line in &foreign {
        record.say(line);
    }
    let text = format!(
        "in {} of {UPLOADS} uploads the upstream got other bytes where the rest of the body was due; {unanswered} of \
         {reads} requests of other clients were not served",
        foreign.len()
    );
    Ok(if foreign.is_empty() {
        Verdict::Held(text)
    } else {
        Verdict::Broken(text)
    })
}

/// Sends an upload in pieces, or the beginning of it.
fn upload(record: &Record, machine: &Machine, number: usize, leaves: bool) -> std::io::Result<()> {
    let id = format!("{number:016x}");
    let mut stream = TcpStream::connect(machine.outbound())?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    record.line(&format!(
        "sending {id} POST /submit/{number} to {}",
        machine.name
    ));
    let head = format!(
        "POST /submit/{number} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 3000\r\n\
         Content-Length: {}\r\n\r\n",
        PIECES * PIECE_BYTES
    );
    stream.write_all(head.as_bytes())?;
    let piece = vec![b'u'; PIECE_BYTES];
    for index in 0..PIECES {
        if leaves && index == PIECES_BEFORE_LEAVING {
            let sent = index * PIECE_BYTES;
            record.say(&format!("the client of {id} leaves after {sent} bytes"));
            return Ok(());
        }
        // The answer may come before the body was sent, and the connection may end then.
        if stream.write_all(&piece).is_err() {
            break;
        }
        thread::sleep(PIECE_INTERVAL);
    }
    match read(&mut BufReader::new(&stream)) {
        Ok(answer) => record.line(&format!("answered {id} {}", answer.status())),
        Err(error) => record.line(&format!("answered {id} no: {error}")),
    }
    Ok(())
}
