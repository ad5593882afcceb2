use std::{
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

/// The timeout for making a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Connects to a `tiny_http` server and disconnects at a fixed interval, so that no connection stays queued.
///
/// The server's thread pool counts a thread as idle until it has woken up. Of two connections that arrive
/// together, one may therefore be queued without a thread, and it waits there until any other connection
/// ends. Each connection that this closes frees a thread for a queued one. See `docs/design/daemon.md`.
pub struct PeriodicConnector {
    stopping: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl PeriodicConnector {
    /// Starts the thread that connects to `address` every `interval`; dropping the value stops it.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the thread can't be started.
    pub fn start(address: SocketAddr, interval: Duration) -> std::io::Result<Self> {
        let stopping = Arc::new(AtomicBool::new(false));
        let thread_stopping = Arc::clone(&stopping);
        let thread = std::thread::Builder::new()
            .name("accept-nudge".into())
            .spawn(move || {
                while !thread_stopping.load(Ordering::Acquire) {
                    drop(TcpStream::connect_timeout(&address, CONNECT_TIMEOUT));
                    std::thread::sleep(interval);
                }
            })?;
        Ok(Self {
            stopping,
            thread: Some(thread),
        })
    }
}

impl Drop for PeriodicConnector {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Release);
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!("the thread of a periodic connector panicked");
        }
    }
}
