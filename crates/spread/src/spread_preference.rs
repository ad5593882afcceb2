use serde::{Deserialize, Serialize};

/// What a deployment weighs more, because fast convergence and few control bytes pull apart.
///
/// See `docs/operating/configuration.md`.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum SpreadPreference {
    /// Fewer copies and digests; a change that is lost on the way is mended later.
    ControlBytes,
    /// More copies and digests, so that the last daemon is seldom behind for long.
    #[default]
    Convergence,
}
