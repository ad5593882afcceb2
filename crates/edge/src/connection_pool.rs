use std::{
    cell::RefCell,
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::byte_stream::ByteStream;

/// Idle connections by address; the most recently used one is taken first.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    idle_streams: RefCell<HashMap<SocketAddr, Vec<ByteStream>>>,
    max_idle_time: Duration,
    max_per_address: usize,
}

impl ConnectionPool {
    pub(crate) fn new(max_idle_time: Duration, max_per_address: usize) -> Self {
        Self {
            idle_streams: RefCell::default(),
            max_idle_time,
            max_per_address,
        }
    }

    /// Takes an idle connection that can be reused.
    pub(crate) fn take(&self, address: SocketAddr) -> Option<ByteStream> {
        let mut idle_streams = self.idle_streams.borrow_mut();
        let pooled = idle_streams.get_mut(&address)?;
        while let Some(mut stream) = pooled.pop() {
            if stream.idle_since.elapsed() < self.max_idle_time && stream.is_reusable() {
                return Some(stream);
            }
        }
        None
    }

    /// Puts an idle connection into the pool; drops it if the pool has the maximum for this address.
    pub(crate) fn put(&self, address: SocketAddr, mut stream: ByteStream) {
        stream.mark_idle();
        let mut idle_streams = self.idle_streams.borrow_mut();
        let pooled = idle_streams.entry(address).or_default();
        if pooled.len() < self.max_per_address {
            pooled.push(stream);
        }
    }

    /// Drops all idle connections to an address.
    pub(crate) fn clear(&self, address: SocketAddr) {
        self.idle_streams.borrow_mut().remove(&address);
    }

    /// Drops the connections that have been idle for too long.
    pub(crate) fn sweep(&self, now: Instant) {
        self.idle_streams.borrow_mut().retain(|_, pooled| {
            pooled.retain(|stream| {
                now.saturating_duration_since(stream.idle_since) < self.max_idle_time
            });
            !pooled.is_empty()
        });
    }
}
