use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    sync::atomic::{AtomicU16, Ordering},
};

static NEXT_HOST: AtomicU16 = AtomicU16::new(0);

/// Returns a free address on a loopback host of its own.
///
/// The host differs by process and call, so that no outgoing connection, which starts from
/// 127.0.0.1, takes the port between this check and its use.
///
/// # Errors
///
/// Returns the operating system's error if no port is free.
pub fn free_address() -> std::io::Result<SocketAddr> {
    let process = std::process::id().to_be_bytes();
    let [upper, lower] = NEXT_HOST.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let second = 64 | (process[2] & 63);
    let third = process[3] ^ upper.rotate_left(3);
    let host = Ipv4Addr::new(127, second, third, lower.max(1));
    TcpListener::bind((host, 0))?.local_addr()
}
