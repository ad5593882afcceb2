use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU16, Ordering},
};

/// The lowest port. All ports lie below the range from which the kernel takes those of outgoing connections.
const FIRST_PORT: u16 = 10_000;

/// The number of ports that processes are spread over.
const PORT_COUNT: u32 = 20_000;

static NEXT_HOST: AtomicU16 = AtomicU16::new(0);

/// Returns an address on a loopback host that no other call and no other process gets.
///
/// The address is computed and never bound here: a socket bound to find a free port could be inherited by a
/// child process that another thread starts at the same time, which would keep the port in use.
#[must_use]
pub fn free_address() -> SocketAddr {
    let process = std::process::id();
    let [.., low] = process.to_be_bytes();
    let [third, fourth] = NEXT_HOST.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let host = Ipv4Addr::new(127, 64 | (low & 63), third, fourth);
    let offset = u16::try_from((process >> 6) % PORT_COUNT).unwrap_or_default();
    SocketAddr::new(IpAddr::V4(host), FIRST_PORT + offset)
}
