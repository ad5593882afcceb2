use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// The state of the upstream beside a daemon, as the daemon announces it.
///
/// A lapsed announcement, a refused connection and an announced departure are separate states
/// because the first two may end by themselves and the third does not.
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
