use std::time::{Duration, Instant};

use crate::{RequestRate, TargetLimit};

/// The wait that is expected where none ends: at a target without slots, or one that takes no requests.
pub(crate) const ENDLESS_WAIT: Duration = Duration::from_hours(1);

/// How long unused arrivals are kept for later requests. At least one request may arrive at any time.
const BURST_PERIOD: Duration = Duration::from_millis(100);

/// After how long without a response a named limit is to be confirmed by a probe: a target that gets no requests
/// can't say that it takes some again.
const UNCONFIRMED_AFTER: Duration = Duration::from_secs(3);

/// Spaces the requests to one target by the limit that the target names in its responses.
///
/// Only the gate beside the target has one, so the limit holds however many daemons send requests there. All
/// requests count: clients' requests, retries and calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct ArrivalLimiter {
    /// When the latest response was received; none if there was none.
    heard_at: Option<Instant>,
    limit: TargetLimit,
    /// When the latest response was received that named the limit that holds.
    named_at: Option<Instant>,
    /// When the limit allows another request after those that were sent, as in the generic cell rate algorithm.
    paid_until: Option<Instant>,
    /// When the target became known.
    reset_at: Option<Instant>,
}

impl ArrivalLimiter {
    /// Returns what is known of the limit.
    #[must_use]
    pub const fn limit(&self) -> TargetLimit {
        self.limit
    }

    /// Applies the limit that a response named, or that it named none; `sent_at` is when its request was sent.
    ///
    /// Responses may arrive in another order than they were made. So a limit is raised or lifted only by the
    /// response to a request that was sent after the limit was last named; a lower one holds at once. Responses to
    /// requests from before the target's start are ignored.
    pub fn receive_response(&mut self, now: Instant, sent_at: Instant, named: Option<RequestRate>) {
        if self.reset_at.is_some_and(|reset_at| sent_at < reset_at) {
            return;
        }
        self.heard_at = Some(now);
        let named = named.map_or(TargetLimit::Unlimited, TargetLimit::Limited);
        let is_later = self.named_at.is_none_or(|named_at| sent_at >= named_at);
        if is_later || is_stricter(named, self.limit) {
            self.set_limit(now, named);
        }
        if self.limit == named && named != TargetLimit::Unlimited {
            self.named_at = Some(now);
        }
    }

    /// Applies the limit that another daemon knows, unless the target has responded to this one.
    pub fn restore(&mut self, now: Instant, known: TargetLimit) {
        if self.limit == TargetLimit::Unknown && matches!(known, TargetLimit::Limited(_)) {
            self.set_limit(now, known);
            self.heard_at = Some(now);
            self.named_at = Some(now);
        }
    }

    /// Forgets everything, since another target, or a new incarnation, serves now.
    pub fn reset(&mut self, now: Instant) {
        *self = Self {
            reset_at: Some(now),
            ..Self::default()
        };
    }

    /// Returns whether a limit holds that the target has not confirmed by a response for a while.
    #[must_use]
    pub fn is_unconfirmed(&self, now: Instant) -> bool {
        matches!(self.limit, TargetLimit::Limited(_))
            && self
                .heard_at
                .is_none_or(|heard_at| now.saturating_duration_since(heard_at) >= UNCONFIRMED_AFTER)
    }

    /// Lets one request arrive at once, whose response shows whether the limit still holds.
    pub fn allow_trial(&mut self, now: Instant) {
        self.paid_until = None;
        self.heard_at = Some(now);
    }

    /// Counts a request that is sent now; returns whether the limit allows it.
    pub fn try_take(&mut self, now: Instant) -> bool {
        let TargetLimit::Limited(rate) = self.limit else {
            return true;
        };
        let is_allowed = self.wait(now, 0.0).is_zero();
        if is_allowed {
            self.paid_until = Some(self.paid_until.unwrap_or(now).max(now) + interval(rate));
        }
        is_allowed
    }

    /// Gives back what a request took that was not sent after all.
    pub fn give_back(&mut self) {
        if let TargetLimit::Limited(rate) = self.limit {
            self.paid_until = self
                .paid_until
                .and_then(|paid_until| paid_until.checked_sub(interval(rate)));
        }
    }

    /// Returns how long the limit makes a request wait that is sent after `ahead_count` others.
    #[must_use]
    pub fn wait(&self, now: Instant, ahead_count: f64) -> Duration {
        let TargetLimit::Limited(rate) = self.limit else {
            return Duration::ZERO;
        };
        let interval = interval(rate);
        let paid = self.paid_for(now);
        let ahead = interval.mul_f64(ahead_count.min(f64::from(u16::MAX)));
        (paid + ahead)
            .saturating_sub(BURST_PERIOD.saturating_sub(interval))
            .min(ENDLESS_WAIT)
    }

    /// Changes the limit. Requests that were sent ahead of the former limit are waited for at the new rate.
    fn set_limit(&mut self, now: Instant, limit: TargetLimit) {
        let former = std::mem::replace(&mut self.limit, limit);
        let TargetLimit::Limited(rate) = limit else {
            return;
        };
        let ahead_count = match former {
            TargetLimit::Limited(former_rate) => {
                self.paid_for(now).div_duration_f64(interval(former_rate))
            }
            TargetLimit::Unknown | TargetLimit::Unlimited => 1.0,
        };
        self.paid_until = Some(now + interval(rate).mul_f64(ahead_count));
    }

    fn paid_for(&self, now: Instant) -> Duration {
        self.paid_until.map_or(Duration::ZERO, |paid_until| {
            paid_until.saturating_duration_since(now)
        })
    }
}

/// Returns whether a limit allows fewer requests than the one that is known.
fn is_stricter(limit: TargetLimit, known: TargetLimit) -> bool {
    match (limit, known) {
        (TargetLimit::Limited(rate), TargetLimit::Limited(known_rate)) => {
            rate.requests_per_1000_s() < known_rate.requests_per_1000_s()
        }
        (TargetLimit::Limited(_), _) => true,
        (TargetLimit::Unknown | TargetLimit::Unlimited, _) => false,
    }
}

/// Returns the time between two requests at a rate.
fn interval(rate: RequestRate) -> Duration {
    rate.interval().unwrap_or(ENDLESS_WAIT).min(ENDLESS_WAIT)
}
