//! HTTP/1.1 messages as the pages describe them.

use std::io::{self, BufRead, ErrorKind, Read};

/// A message that was read whole.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub body: Vec<u8>,
    pub headers: Vec<(String, String)>,
    pub start_line: String,
}

impl Message {
    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(other, _)| other.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Returns a part of the start line.
    pub fn word(&self, index: usize) -> &str {
        self.start_line.split(' ').nth(index).unwrap_or_default()
    }

    /// Returns the status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or_default()
    }

    /// Returns whether its sender closes the connection after it.
    pub fn closes(&self) -> bool {
        self.header("Connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

fn invalid(what: &str) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, what)
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = Vec::new();
    reader.read_until(b'\n', &mut line)?;
    if line.pop() != Some(b'\n') {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    String::from_utf8(line).map_err(|_| invalid("a line that is no text"))
}

/// Reads the start line and the headers of the next message.
///
/// # Errors
///
/// Returns an error if the connection ends before or in it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = Message {
        start_line: read_line(reader)?,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?;
        if line.is_empty() {
            return Ok(message);
        }
        let (name, value) = line.split_once(':').ok_or_else(|| invalid("a header"))?;
        message
            .headers
            .push((name.to_owned(), value.trim().to_owned()));
    }
}

/// Reads the body that belongs to a head. A message without a length and chunks has no body.
///
/// # Errors
///
/// Returns an error if the connection ends in it; what was read of it is in the message.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    let is_chunked = message
        .header("Transfer-Encoding")
        .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    if !is_chunked {
        let length = message.header("Content-Length").unwrap_or("0");
        let length: u64 = length.parse().map_err(|_| invalid("a length"))?;
        return read_bytes(reader, length, &mut message.body);
    }
    loop {
        let line = read_line(reader)?;
        let size = line.split(';').next().unwrap_or_default();
        let size = u64::from_str_radix(size.trim(), 16).map_err(|_| invalid("a chunk's size"))?;
        read_bytes(reader, size, &mut message.body)?;
        if !read_line(reader)?.is_empty() {
            return Err(invalid("the end of a chunk"));
        }
        if size == 0 {
            return Ok(());
        }
    }
}

fn read_bytes(reader: &mut impl BufRead, length: u64, body: &mut Vec<u8>) -> io::Result<()> {
    let read = reader.take(length).read_to_end(body)?;
    if (read as u64) < length {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    Ok(())
}

/// Reads the next message whole.
///
/// # Errors
///
/// Returns an error if the connection ends before or in it.
pub fn read(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = read_head(reader)?;
    read_body(reader, &mut message)?;
    Ok(message)
}
