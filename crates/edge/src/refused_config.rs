use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// How long a copy of a version that was refused isn't fetched again.
const FETCH_AGAIN_AFTER: Duration = Duration::from_secs(5);

/// A version of the configuration that this daemon can't put in force, since it can't decode it. The store accepts valid
/// versions only, so this is a fault of the daemon, which operators have to see.
#[derive(Debug)]
pub(crate) struct RefusedConfig {
    /// What isn't valid.
    pub(crate) reason: String,
    pub(crate) refused_at: Instant,
    /// Where it came from.
    pub(crate) source: &'static str,
    /// Its version; none if not even that can be read.
    pub(crate) version: Option<u64>,
}

impl RefusedConfig {
    /// Returns whether a copy of `version` would only be refused again.
    pub(crate) fn rules_out(&self, now: Instant, version: u64) -> bool {
        self.version == Some(version)
            && now.saturating_duration_since(self.refused_at) < FETCH_AGAIN_AFTER
    }

    /// Returns it as operators read it.
    pub(crate) fn to_json(&self) -> Value {
        json!({"reason": self.reason, "source": self.source, "version": self.version})
    }
}
