use std::{fs, net::SocketAddr, path::Path, time::Duration};

use medlarspool_proto::FleetKey;
use medlarspool_types::{AvailabilityZone, InstanceId, Region};
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};

use crate::{DaemonError, SpreadOptions, settings_fault};

/// The daemon's settings, read once at the start from a YAML file.
///
/// `docs/settings.md` explains each field.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The address for operators and metrics scrapers.
    pub administration_address: SocketAddr,
    /// The address where the upstream beside this daemon announces itself.
    pub announcements_address: SocketAddr,
    /// The availability zone of the instance.
    pub availability_zone: AvailabilityZone,
    /// The address for callers' requests.
    pub callers_address: SocketAddr,
    /// How long each phase of a planned stop may wait for requests in flight, in milliseconds.
    #[serde(rename = "drain_timeout_ms", default = "default_drain_timeout")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub drain_timeout: Duration,
    /// The secret that all daemons of the fleet share; it authenticates what they send to each other.
    pub fleet_key: String,
    /// The name of the instance.
    pub instance: InstanceId,
    /// The largest body of a caller's request, in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: u64,
    /// The bearer token for the administration pages.
    pub operator_token: String,
    /// The address for other daemons, over TCP and UDP.
    pub peers_address: SocketAddr,
    /// The address of the platform's service, which holds the store.
    pub platform_address: SocketAddr,
    /// The interval at which the head is read from the store in mode `poll`, in milliseconds.
    #[serde(
        rename = "platform_poll_interval_ms",
        default = "default_poll_interval"
    )]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub platform_poll_interval: Duration,
    /// The timeout for requests to the platform, in milliseconds.
    #[serde(rename = "platform_timeout_ms", default = "default_platform_timeout")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub platform_timeout: Duration,
    /// The token that authenticates this daemon to the platform.
    pub platform_token: String,
    /// The region that the availability zone belongs to.
    pub region: Region,
    /// How changes of the configuration spread.
    #[serde(default)]
    pub spread: SpreadOptions,
    /// How many callers' requests are handled at once.
    #[serde(default = "default_worker_threads")]
    pub worker_threads: usize,
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file and, where known, the line, the field and the value.
    pub fn load(path: &Path) -> Result<Self, DaemonError> {
        let text = fs::read_to_string(path).map_err(|error| DaemonError::SettingsFile {
            cause: error.to_string(),
            path: path.display().to_string(),
        })?;
        Self::parse(&text).map_err(|cause| DaemonError::SettingsInvalid {
            cause,
            path: path.display().to_string(),
        })
    }

    /// Parses and checks settings.
    ///
    /// # Errors
    ///
    /// Returns which value was rejected, where it stands and why.
    pub fn parse(text: &str) -> Result<Self, String> {
        let settings: Self =
            serde_saphyr::from_str(text).map_err(|error| settings_fault::describe(text, &error))?;
        settings.check(text)?;
        Ok(settings)
    }

    fn check(&self, text: &str) -> Result<(), String> {
        let describe = |field, reason: &str| settings_fault::describe_field(text, field, reason);
        if FleetKey::derive(&self.fleet_key).is_err() {
            return Err(describe("fleet_key", "shorter than 16 characters"));
        }
        if self.operator_token.is_empty() {
            return Err(describe("operator_token", "empty"));
        }
        if self.worker_threads == 0 {
            return Err(describe("worker_threads", "leaves no worker for callers"));
        }
        Ok(())
    }
}

fn default_drain_timeout() -> Duration {
    Duration::from_secs(30)
}

fn default_max_body_bytes() -> u64 {
    1024 * 1024
}

fn default_platform_timeout() -> Duration {
    Duration::from_secs(2)
}

fn default_poll_interval() -> Duration {
    Duration::from_secs(1)
}

fn default_worker_threads() -> usize {
    128
}
