//! A minimal reader and writer of HTTP/1.1 messages.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// One request or answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub body: Vec<u8>,
    pub headers: Vec<(String, String)>,
    /// The request line or the status line.
    pub start_line: String,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(other, _)| other.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.start_line.split(' ').nth(1);
        status
            .and_then(|text| text.parse().ok())
            .unwrap_or_default()
    }

    pub fn method(&self) -> &str {
        self.start_line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn closes_connection(&self) -> bool {
        self.header("Connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Reads one message with a length or in chunks; returns `None` if the connection ends before the message does.
pub fn read(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = read_head(reader)?;
    message.body = read_body(reader, &message)?;
    Some(message)
}

pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = Message {
        start_line: line(reader)?,
        ..Message::default()
    };
    loop {
        let line = line(reader)?;
        if line.is_empty() {
            return Some(message);
        }
        let (name, value) = line.split_once(':')?;
        message.headers.push((name.into(), value.trim().into()));
    }
}

pub fn read_body(reader: &mut impl BufRead, head: &Message) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    if head.header("Transfer-Encoding").is_some() {
        loop {
            let size = usize::from_str_radix(&line(reader)?, 16).ok()?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk).ok()?;
            body.extend(chunk);
            line(reader)?;
            if size == 0 {
                return Some(body);
            }
        }
    }
    let length = head.header("Content-Length").unwrap_or("0");
    let length: u64 = length.parse().ok()?;
    reader.take(length).read_to_end(&mut body).ok()?;
    (body.len() as u64 == length).then_some(body)
}

fn line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    line.ends_with('\n').then(|| line.trim_end().to_owned())
}

/// A client's connection.
pub struct Connection {
    pub reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(address: SocketAddr, read_timeout: Duration) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(read_timeout)).ok()?;
        Some(Self {
            reader: BufReader::new(stream),
        })
    }

    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.reader.get_mut().write_all(bytes).is_ok()
    }

    /// Reads the next answer that isn't an interim one.
    pub fn receive(&mut self) -> Option<Message> {
        loop {
            let answer = read(&mut self.reader)?;
            if answer.status() >= 200 {
                return Some(answer);
            }
        }
    }
}

/// Sends one request on a connection of its own and returns the answer.
pub fn round_trip(address: SocketAddr, text: &str, read_timeout: Duration) -> Option<Message> {
    let mut connection = Connection::open(address, read_timeout)?;
    connection.send(text.as_bytes()).then_some(())?;
    connection.receive()
}
