//! A minimal reader of HTTP/1.1 messages.

use std::{
    io::{BufRead, Read},
    net::TcpStream,
};

/// A request or an answer with its whole body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub body: Vec<u8>,
    pub headers: Vec<(String, String)>,
    pub start_line: String,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(other, _)| other.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Returns the second word of the start line: a request's path or an answer's status.
    pub fn second_word(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.second_word().parse().unwrap_or_default()
    }
}

/// Reads one message; none if the connection ends before the message does.
pub fn read(reader: &mut (impl BufRead + Read)) -> Option<Message> {
    let mut message = Message {
        start_line: line(reader)?,
        ..Message::default()
    };
    loop {
        let text = line(reader)?;
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':')?;
        message.headers.push((name.into(), value.trim().into()));
    }
    if message.header("transfer-encoding").is_some() {
        loop {
            let size = usize::from_str_radix(&line(reader)?, 16).ok()?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk).ok()?;
            message.body.extend(chunk);
            line(reader)?;
            if size == 0 {
                return Some(message);
            }
        }
    }
    let length = message
        .header("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

fn line(reader: &mut impl BufRead) -> Option<String> {
    let mut text = String::new();
    let count = reader.read_line(&mut text).ok()?;
    (count > 0).then(|| text.trim_end().to_owned())
}

/// Sends a request on a new connection and reads its answer; none if the connection ends without one.
pub fn round_trip(
    address: std::net::SocketAddr,
    text: &str,
    time_limit: std::time::Duration,
) -> Option<Message> {
    use std::io::Write;
    let mut stream = TcpStream::connect(address).ok()?;
    stream.set_read_timeout(Some(time_limit)).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    read(&mut std::io::BufReader::new(stream))
}
