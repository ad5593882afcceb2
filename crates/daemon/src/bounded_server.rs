use std::{
    net::SocketAddr,
    panic::{AssertUnwindSafe, catch_unwind},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

use tiny_http::{Request, Server};

use crate::{DaemonError, PeriodicConnector};

/// How many queued requests each worker of a stopping server still handles at most.
const MAX_REQUESTS_AFTER_STOP: usize = 1_024;

/// The interval at which an idle worker checks whether the server is stopping.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// An HTTP server with a fixed number of worker threads. Dropping it stops the workers once the requests that
/// have already arrived are handled, of which each worker handles at most [`MAX_REQUESTS_AFTER_STOP`].
pub(crate) struct BoundedServer {
    _connector: PeriodicConnector,
    server: Arc<Server>,
    stopping: Arc<AtomicBool>,
    workers: Vec<JoinHandle<()>>,
}

impl BoundedServer {
    /// Listens on `address` and starts the worker threads, which are named after `purpose`, and a
    /// [`PeriodicConnector`] with `connect_interval`.
    pub(crate) fn start(
        purpose: &'static str,
        address: SocketAddr,
        worker_count: usize,
        connect_interval: Duration,
        handle: impl Fn(Request) + Clone + Send + 'static,
    ) -> Result<Self, DaemonError> {
        let server = Server::http(address).map_err(|error| DaemonError::Listen {
            address: address.to_string(),
            cause: error.to_string(),
            purpose,
        })?;
        let connector = PeriodicConnector::start(address, connect_interval)
            .map_err(|error| DaemonError::Thread(error.to_string()))?;
        let mut bounded = Self {
            _connector: connector,
            server: Arc::new(server),
            stopping: Arc::default(),
            workers: Vec::with_capacity(worker_count),
        };
        for _ in 0..worker_count {
            let worker = bounded.spawn(purpose, handle.clone())?;
            bounded.workers.push(worker);
        }
        Ok(bounded)
    }

    /// Starts a worker, which handles requests until the server stops and then those that are still queued.
    fn spawn(
        &self,
        purpose: &'static str,
        handle: impl Fn(Request) + Send + 'static,
    ) -> Result<JoinHandle<()>, DaemonError> {
        let server = Arc::clone(&self.server);
        let stopping = Arc::clone(&self.stopping);
        std::thread::Builder::new()
            .name(purpose.into())
            .spawn(move || {
                while !stopping.load(Ordering::Acquire) {
                    if let Ok(Some(request)) = server.recv_timeout(STOP_CHECK_INTERVAL) {
                        handle_request(&handle, request);
                    }
                }
                for _ in 0..MAX_REQUESTS_AFTER_STOP {
                    let Ok(Some(request)) = server.try_recv() else {
                        return;
                    };
                    handle_request(&handle, request);
                }
            })
            .map_err(|error| DaemonError::Thread(error.to_string()))
    }
}

impl Drop for BoundedServer {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Release);
        for worker in self.workers.drain(..) {
            if worker.join().is_err() {
                log::error!("a worker panicked");
            }
        }
    }
}

/// Handles one request. If the handler panics, the caller gets no answer, but the worker goes on.
fn handle_request(handle: &impl Fn(Request), request: Request) {
    let result = catch_unwind(AssertUnwindSafe(|| handle(request)));
    if result.is_err() {
        log::error!("a request's handler panicked");
    }
}
