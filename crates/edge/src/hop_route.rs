use std::time::Duration;

use medlarspool_mesh::{RetrySafety, Route, RouteKey};

/// The share of the time between the target latency and the deadline that a request may use for waiting.
const LATE_WAIT_SHARE: f64 = 0.1;

/// What a gate needs to know of a request's route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct HopRoute {
    pub(crate) assumed_run_time: Duration,
    pub(crate) key: RouteKey,
    pub(crate) rank: u32,
    pub(crate) retry_safety: RetrySafety,
    /// What remains of the route's target latency, the time within which a response is worth most.
    pub(crate) target_latency: Duration,
}

impl HopRoute {
    /// Describes the route of a request that has waited for `waited` since its arrival at the entry.
    pub(crate) fn of(route: &Route, waited: Duration) -> Self {
        Self {
            assumed_run_time: route.assumed_run_time(),
            key: route.key,
            rank: route.rank,
            retry_safety: route.retry_safety,
            target_latency: route.target_latency.saturating_sub(waited),
        }
    }

    /// Returns how long a request may wait for a run that takes `run_time`, with `remaining` until its deadline.
    ///
    /// The wait ends soon after the target latency: a longer one would make other requests late too, and
    /// would be useless, since requests that can still be on time go first.
    pub(crate) fn max_wait(&self, remaining: Duration, run_time: Duration) -> Duration {
        let late_time = remaining.saturating_sub(self.target_latency);
        let max_response_time =
            self.target_latency.max(run_time) + late_time.mul_f64(LATE_WAIT_SHARE);
        max_response_time.min(remaining).saturating_sub(run_time)
    }

    /// Encodes the route for a hop's header.
    pub(crate) fn encode(&self) -> String {
        format!(
            "{:x},{},{},{},{}",
            self.key.0,
            u8::from(self.retry_safety == RetrySafety::Idempotent),
            self.rank,
            self.target_latency.as_millis(),
            self.assumed_run_time.as_millis(),
        )
    }

    /// Decodes a hop's header; returns `None` if it is not valid.
    pub(crate) fn decode(text: &str) -> Option<Self> {
        let mut parts = text.split(',');
        let key = RouteKey(u64::from_str_radix(parts.next()?, 16).ok()?);
        let retry_safety = match parts.next()? {
            "1" => RetrySafety::Idempotent,
            _ => RetrySafety::AtMostOnce,
        };
        let rank = parts.next()?.parse().ok()?;
        let target_latency = Duration::from_millis(parts.next()?.parse().ok()?);
        let assumed_run_time = Duration::from_millis(parts.next()?.parse().ok()?);
        Some(Self {
            assumed_run_time,
            key,
            rank,
            retry_safety,
            target_latency,
        })
    }
}
