use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// How the upstream beside a daemon stands, as the daemon says.
///
/// A lapsed announcement, a refused connection and an announced leaving are told apart because the
/// first two may end by themselves and the third does not.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamState {
    /// absent
    #[default]
    Absent,
    /// lapsed
    Lapsed,
    /// leaving
    Leaving,
    /// refusing
    Refusing,
    /// serving
    Serving,
}
