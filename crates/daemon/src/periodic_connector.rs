use std::{
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

/// How long such a connection may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Keeps new connections of a `tiny_http` server from waiting behind old ones.
///
/// Its pool counts a thread as idle until it has woken up, so of two connections that arrive
/// together one may be queued with no thread left for it, until any other connection ends. This
/// opens and ends one at short intervals, which frees a thread for what is queued. See
/// `docs/design/daemon.md`.
pub struct PeriodicConnector {
    stopping: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl PeriodicConnector {
    /// Starts to connect to a server.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if no thread can be started.
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
            log::error!("a nudging thread panicked");
        }
    }
}
