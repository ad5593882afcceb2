use std::time::Duration;

use medlarspool_mesh::{LatencyGoal, RetrySafety, Route, RouteKey};

/// What a gate needs to know of a request's route.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct HopRoute {
    pub(crate) assumed_run_time: Duration,
    pub(crate) goal: LatencyGoal,
    /// Whether a target makes the request while it runs another one.
    pub(crate) is_call: bool,
    pub(crate) key: RouteKey,
    pub(crate) rank: u32,
    pub(crate) retry_safety: RetrySafety,
}

impl HopRoute {
    /// Describes the route of a request of this rank that has waited for `waited` since its arrival at the entry.
    pub(crate) fn of(route: &Route, rank: u32, waited: Duration, is_call: bool) -> Self {
        Self {
            assumed_run_time: route.assumed_run_time(),
            goal: LatencyGoal {
                target_latency: route.target_latency.saturating_sub(waited),
            },
            is_call,
            key: route.key,
            rank,
            retry_safety: route.retry_safety,
        }
    }

    /// Encodes the route for a hop's header.
    pub(crate) fn encode(&self) -> String {
        format!(
            "{:x},{},{},{},{},{}",
            self.key.0,
            u8::from(self.retry_safety == RetrySafety::Idempotent),
            self.rank,
            self.goal.target_latency.as_millis(),
            self.assumed_run_time.as_millis(),
            u8::from(self.is_call),
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
        // A daemon of an earlier version doesn't send this part.
        let is_call = parts.next() == Some("1");
        Some(Self {
            assumed_run_time,
            goal: LatencyGoal { target_latency },
            is_call,
            key,
            rank,
            retry_safety,
        })
    }
}
