use std::time::Duration;

use medlarspool_spread::{SpreadMode, SpreadPreference, SpreadSettings};
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};

/// The operator's settings for how changes of the configuration spread.
///
/// `docs/operating/configuration.md` explains the choice.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SpreadOptions {
    /// The time over which daemons that start together distribute their first reads of the store, in
    /// milliseconds.
    #[serde(rename = "join_spread_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub join_spread: Duration,
    /// How the fleet learns that the store holds a newer version.
    pub mode: SpreadMode,
    /// Whether the deployment prefers fast convergence or few control bytes.
    pub preference: SpreadPreference,
}

impl SpreadOptions {
    /// Returns all settings of the spreading core; `poll_interval` is used in mode `poll` only.
    #[must_use]
    pub fn settings(&self, poll_interval: Duration) -> SpreadSettings {
        SpreadSettings {
            join_spread: self.join_spread,
            mode: self.mode,
            poll_interval,
            ..SpreadSettings::for_preference(self.preference)
        }
    }
}

impl Default for SpreadOptions {
    fn default() -> Self {
        let settings = SpreadSettings::default();
        Self {
            join_spread: settings.join_spread,
            mode: settings.mode,
            preference: SpreadPreference::default(),
        }
    }
}
