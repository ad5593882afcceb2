//! A stand-in for clients: one request on a new connection.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use crate::{http::read, record::Record};

/// What became of a request, as its client saw it.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub ended_at: Instant,
    pub id: String,
    /// The status of the whole answer; none if the connection ended without one.
    pub status: Option<u16>,
}

/// Sends a request with a body and waits for its answer until a little after the deadline.
pub fn call(
    address: SocketAddr,
    record: &Record,
    method: &str,
    path: &str,
    id: &str,
    deadline: Duration,
) -> Outcome {
    let body = format!("work at {path}");
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {}\r\nContent-Length: {}\r\n\r\n{body}",
        deadline.as_millis(),
        body.len()
    );
    record.line(&format!("client sends {id} {path}"));
    let answer = (|| {
        let mut stream = TcpStream::connect(address).ok()?;
        stream
            .set_read_timeout(Some(deadline + Duration::from_millis(500)))
            .ok()?;
        stream.write_all(text.as_bytes()).ok()?;
        read(&mut BufReader::new(stream))
    })();
    let outcome = Outcome {
        ended_at: Instant::now(),
        id: id.into(),
        status: answer.map(|answer| answer.status()),
    };
    match outcome.status {
        Some(status) => record.line(&format!("client of {id} gets {status}")),
        None => record.line(&format!(
            "client of {id}: the connection ends without an answer"
        )),
    }
    outcome
}
