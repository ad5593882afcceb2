use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// The faults that a fake platform injects.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FakeFaults {
    /// The delay added to each call.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub delay_ms: Duration,
    /// Whether every call fails as [`crate::PlatformError::Unavailable`] without any effect.
    pub down: bool,
    /// The number of later calls after which a late write takes effect, at least 1.
    pub late_by_calls: u32,
    /// The number of upcoming writes that take effect late; the writer gets no answer.
    pub late_writes: u32,
    /// The number of upcoming writes that take effect but whose answer is lost.
    pub lost_answers: u32,
    /// The number of upcoming writes that are lost and never take effect; the writer gets no answer.
    pub lost_writes: u32,
}
