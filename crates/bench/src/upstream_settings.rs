use std::{net::SocketAddr, path::PathBuf, time::Duration};

use crate::UpstreamBehaviour;

/// The settings of a stand-in upstream.
#[derive(Clone, Debug)]
pub struct UpstreamSettings {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// The address at which the daemon beside it accepts announcements.
    pub announcements_address: SocketAddr,
    /// How it handles requests.
    pub behaviour: UpstreamBehaviour,
    /// The file of the [`crate::RunLedger`] in which it records each run, if any.
    pub ledger: Option<PathBuf>,
    /// The name that its answers and its records in the ledger carry.
    pub name: String,
    /// The service that it offers.
    pub service: String,
    /// How long a request takes, unless the behaviour changes it; see [`UpstreamBehaviour::service_time`].
    pub service_time: Duration,
    /// How many requests it runs at once.
    pub slots: u32,
}

impl UpstreamSettings {
    /// Returns the command-line arguments that start the stand-in upstream with these settings.
    #[must_use]
    pub fn arguments(&self) -> Vec<String> {
        let mut arguments: Vec<String> = [
            ("--address", self.address.to_string()),
            ("--announcements", self.announcements_address.to_string()),
            ("--behaviour", self.behaviour.to_string()),
            ("--name", self.name.clone()),
            ("--service", self.service.clone()),
            (
                "--service-time-ms",
                self.service_time.as_millis().to_string(),
            ),
            ("--slots", self.slots.to_string()),
        ]
        .into_iter()
        .flat_map(|(name, value)| [name.to_owned(), value])
        .collect();
        if let Some(ledger) = &self.ledger {
            arguments.extend(["--ledger".to_owned(), ledger.display().to_string()]);
        }
        arguments
    }
}
