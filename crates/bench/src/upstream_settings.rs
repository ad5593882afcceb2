use std::{net::SocketAddr, path::PathBuf, time::Duration};

use crate::UpstreamBehaviour;

/// What a stand-in upstream is and where it announces itself.
#[derive(Clone, Debug)]
pub struct UpstreamSettings {
    /// Where it serves.
    pub address: SocketAddr,
    /// Where the daemon beside it takes announcements.
    pub announcements_address: SocketAddr,
    /// How it serves.
    pub behaviour: UpstreamBehaviour,
    /// Where it notes each run, if it does.
    pub ledger: Option<PathBuf>,
    /// The name that its answers show.
    pub name: String,
    /// The service that it offers.
    pub service: String,
    /// How long a request takes.
    pub service_time: Duration,
    /// How many requests it runs at once.
    pub slots: u32,
}

impl UpstreamSettings {
    /// Returns the arguments that make the stand-in upstream's process serve by these settings.
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
