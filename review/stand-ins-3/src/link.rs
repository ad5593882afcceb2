//! The network between one daemon and another one, which can be cut: each knows the other by an address of the link.
//!
//! Reports are passed on as they are, but for the address of their sender and those of further daemons. While the link
//! is cut, datagrams are dropped, new connections fail after the 1.2 s that a daemon waits for one, and open ones die
//! as the daemons' settings for TCP have it: after 1 s with unacknowledged data, and after 3 s without an answer to
//! keepalive probes. What they held is lost.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use medlarspool_hop::{PeerMessage, Report};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_200);
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(1);
const KEEPALIVE_TIMEOUT: Duration = Duration::from_secs(3);

/// One of the two daemons.
#[derive(Clone, Copy)]
pub struct End {
    /// By which address the other daemon knows this one.
    pub alias: SocketAddr,
    pub daemon: SocketAddr,
}

#[derive(Clone)]
pub struct Link {
    connections: Arc<Mutex<Vec<Connection>>>,
    is_cut: Arc<AtomicBool>,
}

struct Connection {
    is_dead: Arc<AtomicBool>,
    to_entry: TcpStream,
    to_gate: TcpStream,
}

impl Link {
    /// Starts the link from an entry to a gate.
    pub fn start(entry: End, gate: End) -> Self {
        let link = Self {
            connections: Arc::default(),
            is_cut: Arc::default(),
        };
        let at_entry = UdpSocket::bind(gate.alias).expect("the link's address is free");
        let at_gate = UdpSocket::bind(entry.alias).expect("the link's address is free");
        let copies = (
            at_entry.try_clone().expect("a socket can be copied"),
            at_gate.try_clone().expect("a socket can be copied"),
        );
        let (to_gate, to_entry) = (link.clone(), link.clone());
        thread::spawn(move || to_gate.pass_reports(&at_entry, entry, &at_gate, gate.daemon));
        thread::spawn(move || to_entry.pass_reports(&copies.1, gate, &copies.0, entry.daemon));
        let listener = TcpListener::bind(gate.alias).expect("the link's address is free");
        let accepting = link.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = accepting.clone();
                thread::spawn(move || serving.connect(stream, gate.daemon));
            }
        });
        link
    }

    /// Returns a daemon's row with the address by which the other one knows it.
    pub fn translated_row(row: &[u8], alias: SocketAddr) -> Option<Vec<u8>> {
        let mut report = Report::decode(row).ok()?;
        report.sender.address = alias;
        Some(report.encode())
    }

    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        let connections = std::mem::take(&mut *self.connections.lock().unwrap());
        for connection in &connections {
            connection.is_dead.store(true, Ordering::SeqCst);
        }
        thread::spawn(move || {
            thread::sleep(UNACKNOWLEDGED_TIMEOUT);
            for connection in &connections {
                let _ = connection.to_gate.shutdown(Shutdown::Both);
            }
            thread::sleep(KEEPALIVE_TIMEOUT - UNACKNOWLEDGED_TIMEOUT);
            for connection in &connections {
                let _ = connection.to_entry.shutdown(Shutdown::Both);
            }
        });
    }

    pub fn heal(&self) {
        self.is_cut.store(false, Ordering::SeqCst);
    }

    fn pass_reports(&self, from: &UdpSocket, sender: End, to: &UdpSocket, receiver: SocketAddr) {
        let mut buffer = [0; Report::MAX_BYTES];
        loop {
            let Ok((length, source)) = from.recv_from(&mut buffer) else {
                continue;
            };
            if self.is_cut.load(Ordering::SeqCst) || source != sender.daemon {
                continue;
            }
            if let Ok(PeerMessage::Report(mut report)) = PeerMessage::decode(&buffer[..length]) {
                report.sender.address = sender.alias;
                report.known_peers.clear();
                let _ = to.send_to(&report.encode(), receiver);
            }
        }
    }

    fn connect(&self, to_entry: TcpStream, gate: SocketAddr) {
        if self.is_cut.load(Ordering::SeqCst) {
            thread::sleep(CONNECT_TIMEOUT);
            let _ = to_entry.shutdown(Shutdown::Both);
            return;
        }
        let Ok(to_gate) = TcpStream::connect(gate) else {
            return;
        };
        let is_dead = Arc::new(AtomicBool::new(false));
        let copy = |stream: &TcpStream| {
            let _ = stream.set_nodelay(true);
            stream.try_clone().expect("a socket can be copied")
        };
        self.connections.lock().unwrap().push(Connection {
            is_dead: is_dead.clone(),
            to_entry: copy(&to_entry),
            to_gate: copy(&to_gate),
        });
        let (from, into, dead) = (copy(&to_entry), copy(&to_gate), is_dead.clone());
        thread::spawn(move || pass_bytes(from, into, &dead));
        pass_bytes(to_gate, to_entry, &is_dead);
    }
}

/// Passes bytes on; once the connection is dead they are dropped, and its ends stay as they are.
fn pass_bytes(mut from: TcpStream, mut into: TcpStream, is_dead: &AtomicBool) {
    let mut buffer = [0; 16 << 10];
    while let Ok(length @ 1..) = from.read(&mut buffer) {
        if !is_dead.load(Ordering::SeqCst) && into.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    if !is_dead.load(Ordering::SeqCst) {
        let _ = into.shutdown(Shutdown::Both);
    }
}
