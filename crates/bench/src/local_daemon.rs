use std::{net::SocketAddr, sync::Arc, time::Duration};

use medlarspool_daemon::{Daemon, Settings};
use medlarspool_platform::Platform;
use medlarspool_types::{ConfigHead, SystemClock};

use crate::{StandInUpstream, UpstreamSettings, daemon_spec::DaemonSpec};

/// How long a local daemon gets to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// A daemon in this process with the stand-in upstream beside it.
pub struct LocalDaemon {
    daemon: Daemon,
    /// The daemon's settings.
    pub settings: Settings,
    upstream: Option<StandInUpstream>,
}

impl LocalDaemon {
    /// Starts the daemon and its upstream.
    ///
    /// # Errors
    ///
    /// Returns why either can't be started.
    pub fn start(spec: &DaemonSpec, platform: Arc<dyn Platform>) -> Result<Self, String> {
        let settings = spec.settings()?;
        let daemon = Daemon::start(settings.clone(), platform, Arc::new(SystemClock))
            .map_err(|error| error.to_string())?;
        let upstream = spec
            .upstream
            .as_ref()
            .map(|upstream| {
                StandInUpstream::start(UpstreamSettings {
                    announcements_address: settings.announcements_address,
                    ..upstream.clone()
                })
            })
            .transpose()?;
        Ok(Self {
            daemon,
            settings,
            upstream,
        })
    }

    /// Returns the head of the configuration in use.
    #[must_use]
    pub fn config_head(&self) -> ConfigHead {
        self.daemon.config_head()
    }

    /// Stops as planned: the upstream leaves, then the daemon drains.
    pub fn stop(self) {
        if let Some(upstream) = self.upstream {
            upstream.leave(Duration::ZERO);
        }
        self.daemon.stop();
    }

    /// Returns once the daemon says that it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not ready in time.
    pub fn wait_until_ready(&self) -> Result<(), String> {
        wait_until_ready(self.settings.administration_address)
    }
}

/// Returns once the daemon at an administration address says that it is ready.
///
/// # Errors
///
/// Returns an error if it is not ready in time.
pub fn wait_until_ready(administration_address: SocketAddr) -> Result<(), String> {
    let url = format!("http://{administration_address}/readyz");
    let attempts = READY_TIMEOUT.as_millis() / 50;
    for _ in 0..attempts {
        if ureq::get(&url).call().is_ok() {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    Err(format!(
        "`{administration_address}` did not become ready in time"
    ))
}
