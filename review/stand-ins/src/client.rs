//! A stand-in for a client, which keeps its connection open for many requests.

use std::{
    io::{self, BufReader, Write},
    net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream},
    os::fd::{FromRawFd, OwnedFd},
    thread,
    time::Duration,
};

use crate::http::{Message, read_body, read_head};

/// How long a client waits for bytes of an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(8);

/// How a client sends a body.
#[derive(Clone, Copy, Debug)]
pub enum Sending {
    /// In one piece.
    AtOnce,
    /// In pieces of up to 16 KiB, as they come to hand, with a millisecond between them; the number selects the lengths.
    InPieces(u64),
}

/// The longest piece of a body that is sent in pieces, and the pause after each.
const MAX_PIECE_BYTES: u64 = 16 << 10;
const PIECE_INTERVAL: Duration = Duration::from_millis(1);

/// A request of a client.
pub struct ClientRequest<'a> {
    pub body: &'a [u8],
    pub deadline_ms: u32,
    pub host: &'a str,
    pub id: &'a str,
    pub method: &'a str,
    pub path: &'a str,
    pub sending: Sending,
}

impl ClientRequest<'_> {
    /// Returns the head as it is sent.
    pub fn head(&self) -> String {
        let length = if self.body.is_empty() {
            String::new()
        } else {
            format!("Content-Length: {}\r\n", self.body.len())
        };
        format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\n{length}\r\n",
            self.method, self.path, self.host, self.id, self.deadline_ms
        )
    }
}

/// How one request ended.
#[derive(Debug)]
pub enum Outcome {
    /// A complete answer.
    Answered(Message),
    /// The connection ended in the answer's body, after this many bytes of this many.
    CutOff { received: usize, length: usize },
    /// The connection ended without any answer.
    NoAnswer(io::Error),
}

impl std::fmt::Display for Outcome {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Answered(answer) => {
                let status = answer.status();
                let signature = answer.header("Response-Signature").unwrap_or("none");
                let bytes = answer.body.len();
                write!(formatter, "{status}, signature {signature}, {bytes} bytes")
            }
            Self::CutOff { received, length } => {
                write!(
                    formatter,
                    "the answer is cut off after {received} of {length} bytes"
                )
            }
            Self::NoAnswer(error) => write!(formatter, "no answer: {error}"),
        }
    }
}

impl Outcome {
    /// Returns whether it is a success with the upstream's signature.
    pub fn is_served(&self) -> bool {
        matches!(self, Self::Answered(answer)
            if (200..300).contains(&answer.status()) && answer.header("Response-Signature").is_some())
    }

    /// Returns the status of a complete answer; 0 without one.
    pub fn status(&self) -> u16 {
        match self {
            Self::Answered(answer) => answer.status(),
            Self::CutOff { .. } | Self::NoAnswer(_) => 0,
        }
    }
}

/// A client of one machine.
pub struct Client {
    address: SocketAddr,
    reader: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            reader: None,
        }
    }

    /// Sends a request, whole, and then reads its answer.
    pub fn send(&mut self, request: &ClientRequest) -> Outcome {
        let outcome = self.exchange(request);
        let keeps_open = matches!(&outcome, Outcome::Answered(answer) if !answer.closes());
        if !keeps_open {
            self.reader = None;
        }
        outcome
    }

    fn exchange(&mut self, request: &ClientRequest) -> Outcome {
        let reader = match self.connected() {
            Ok(reader) => reader,
            Err(error) => return Outcome::NoAnswer(error),
        };
        // An answer may have arrived before the body was sent, so an error of the sending ends nothing.
        let sent = reader
            .get_mut()
            .write_all(request.head().as_bytes())
            .and_then(|()| send_body(reader.get_mut(), request));
        let mut answer = match read_head(reader) {
            Ok(answer) => answer,
            Err(error) => return Outcome::NoAnswer(sent.err().unwrap_or(error)),
        };
        match read_body(reader, &mut answer) {
            Ok(()) => Outcome::Answered(answer),
            Err(_) => {
                let length = answer.header("Content-Length").unwrap_or_default();
                Outcome::CutOff {
                    received: answer.body.len(),
                    length: length.parse().unwrap_or_default(),
                }
            }
        }
    }

    fn connected(&mut self) -> io::Result<&mut BufReader<TcpStream>> {
        if self.reader.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1))?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(READ_TIMEOUT))?;
            stream.set_write_timeout(Some(READ_TIMEOUT))?;
            self.reader = Some(BufReader::new(stream));
        }
        Ok(self.reader.as_mut().expect("it was set above"))
    }
}

fn send_body(stream: &mut TcpStream, request: &ClientRequest) -> io::Result<()> {
    let Sending::InPieces(seed) = request.sending else {
        return stream.write_all(request.body);
    };
    let mut rest = request.body;
    let mut state = seed.wrapping_add(1);
    while !rest.is_empty() {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        let length = usize::try_from((state >> 33) % MAX_PIECE_BYTES + 1).unwrap_or(1);
        let (piece, others) = rest.split_at(length.min(rest.len()));
        stream.write_all(piece)?;
        rest = others;
        thread::sleep(PIECE_INTERVAL);
    }
    Ok(())
}

/// Opens a connection from an address of this machine, as a client that runs there does: towards the own address of a
/// machine the kernel chooses that address, but not within the loopback range.
pub fn connect_from(ip: Ipv4Addr, address: SocketAddrV4) -> io::Result<TcpStream> {
    // SAFETY: a call without pointers.
    let socket = unsafe { socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0) };
    if socket < 0 {
        return Err(io::Error::last_os_error());
    }
    // SAFETY: the descriptor was just opened and belongs to nobody else.
    let owned = unsafe { OwnedFd::from_raw_fd(socket) };
    let from = InternetAddress::new(SocketAddrV4::new(ip, 0));
    let to = InternetAddress::new(address);
    // SAFETY: both addresses have the layout and the length that the calls expect, and outlive them.
    let is_connected = unsafe {
        bind(socket, &raw const from, ADDRESS_BYTES) == 0
            && connect(socket, &raw const to, ADDRESS_BYTES) == 0
    };
    if !is_connected {
        return Err(io::Error::last_os_error());
    }
    Ok(owned.into())
}

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOCK_CLOEXEC: i32 = 0o2_000_000;
const ADDRESS_BYTES: u32 = 16;

/// `struct sockaddr_in` of Linux.
#[repr(C)]
struct InternetAddress {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    padding: [u8; 8],
}

impl InternetAddress {
    fn new(address: SocketAddrV4) -> Self {
        Self {
            family: 2,
            port: address.port().to_be_bytes(),
            ip: address.ip().octets(),
            padding: [0; 8],
        }
    }
}

// The standard library opens no connection from a given address.
unsafe extern "C" {
    fn bind(socket: i32, address: *const InternetAddress, length: u32) -> i32;
    fn connect(socket: i32, address: *const InternetAddress, length: u32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
}
