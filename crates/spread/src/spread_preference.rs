use serde::{Deserialize, Serialize};

/// Which of two conflicting aims a deployment prefers: fast convergence or few control bytes.
///
/// See `docs/operating/configuration.md`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SpreadPreference {
    /// Fewer copies and digests; a daemon that misses a push catches up later.
    ControlBytes,
    /// More copies and digests, so that the last daemon is seldom behind for long.
    #[default]
    Convergence,
}
