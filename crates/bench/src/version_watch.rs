use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

use crate::ScrapedMetrics;

/// The pause between two rounds of checks, and the timeout of one check.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// How often versions were checked and how often one went back.
#[derive(Clone, Copy, Debug, Default)]
pub struct VersionCount {
    /// Checks that found a daemon with a configuration version.
    pub checks: u64,
    /// Checks that found an older version than an earlier check of the same daemon, restarts included.
    pub reversions: u64,
}

/// A thread that repeatedly checks that no daemon goes back to an older configuration version.
pub struct VersionWatch {
    is_stopping: Arc<AtomicBool>,
    thread: JoinHandle<VersionCount>,
}

impl VersionWatch {
    /// Starts to check the daemons at these administration addresses.
    #[must_use]
    pub fn start(administration_addresses: Vec<SocketAddr>) -> Self {
        let is_stopping = Arc::new(AtomicBool::new(false));
        let stop_requested = Arc::clone(&is_stopping);
        let thread = std::thread::spawn(move || watch(&administration_addresses, &stop_requested));
        Self {
            is_stopping,
            thread,
        }
    }

    /// Stops the checks and returns their counts.
    ///
    /// # Panics
    ///
    /// If the watching thread panicked.
    #[must_use]
    pub fn stop(self) -> VersionCount {
        self.is_stopping.store(true, Ordering::Release);
        self.thread
            .join()
            .expect("the watching thread does not panic")
    }
}

/// Checks the daemons until it is stopped; skips those that do not answer or have no version yet.
fn watch(administration_addresses: &[SocketAddr], is_stopping: &AtomicBool) -> VersionCount {
    let mut count = VersionCount::default();
    let mut highest: HashMap<SocketAddr, f64> = HashMap::new();
    while !is_stopping.load(Ordering::Acquire) {
        for address in administration_addresses {
            let Ok(metrics) = ScrapedMetrics::read_within(*address, CHECK_INTERVAL) else {
                continue;
            };
            let version = metrics.value("medlarspool_config_version");
            if version == 0.0 {
                continue;
            }
            count.checks += 1;
            let highest = highest.entry(*address).or_default();
            if version < *highest {
                count.reversions += 1;
                log::error!(address = address.to_string().as_str(), version = version, before = *highest; "a daemon went back to an older configuration version");
            }
            *highest = highest.max(version);
        }
        std::thread::sleep(CHECK_INTERVAL);
    }
    count
}
