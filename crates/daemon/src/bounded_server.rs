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

/// The most requests that a worker of a stopping server still takes.
const MAX_QUEUED: usize = 1_024;

/// How often a worker looks whether the server is stopping.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// An HTTP server with a fixed number of workers; dropping it finishes what they hold.
pub(crate) struct BoundedServer {
    _nudge: PeriodicConnector,
    server: Arc<Server>,
    stopping: Arc<AtomicBool>,
    workers: Vec<JoinHandle<()>>,
}

impl BoundedServer {
    pub(crate) fn start(
        purpose: &'static str,
        address: SocketAddr,
        workers: usize,
        nudge_interval: Duration,
        handle: impl Fn(Request) + Clone + Send + 'static,
    ) -> Result<Self, DaemonError> {
        let server = Server::http(address).map_err(|error| DaemonError::Listen {
            address: address.to_string(),
            cause: error.to_string(),
            purpose,
        })?;
        let nudge = PeriodicConnector::start(address, nudge_interval)
            .map_err(|error| DaemonError::Thread(error.to_string()))?;
        let mut bounded = Self {
            _nudge: nudge,
            server: Arc::new(server),
            stopping: Arc::default(),
            workers: Vec::with_capacity(workers),
        };
        for _ in 0..workers {
            let worker = bounded.spawn(purpose, handle.clone())?;
            bounded.workers.push(worker);
        }
        Ok(bounded)
    }

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
                        serve_one(&handle, request);
                    }
                }
                for _ in 0..MAX_QUEUED {
                    let Ok(Some(request)) = server.try_recv() else {
                        return;
                    };
                    serve_one(&handle, request);
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

/// Handles one request; a panic costs its caller the answer but never the worker.
fn serve_one(handle: &impl Fn(Request), request: Request) {
    let handled = catch_unwind(AssertUnwindSafe(|| handle(request)));
    if handled.is_err() {
        log::error!("a request's handler panicked");
    }
}
