use std::{net::SocketAddr, sync::Arc, time::Duration};

use medlarspool_daemon::{Daemon, Settings};
use medlarspool_platform::Platform;
use medlarspool_types::{ConfigHead, SystemClock};

use crate::{StandInUpstream, UpstreamSettings, daemon_spec::DaemonSpec};

/// The longest wait until a daemon is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// A daemon that runs in this process, with a stand-in upstream if its specification has one.
pub struct LocalDaemon {
    daemon: Daemon,
    /// The daemon's settings.
    pub settings: Settings,
    upstream: Option<StandInUpstream>,
}

impl LocalDaemon {
    /// Starts the daemon, and its upstream if the specification has one.
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

    /// Shuts down gracefully: the upstream drains, then the daemon.
    pub fn stop(self) {
        if let Some(upstream) = self.upstream {
            upstream.leave(Duration::ZERO);
        }
        self.daemon.stop();
    }

    /// Waits until the daemon reports that it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not ready in time.
    pub fn wait_until_ready(&self) -> Result<(), String> {
        wait_until_ready(self.settings.administration_address)
    }
}

/// Waits until the daemon at an administration address reports that it is ready.
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
