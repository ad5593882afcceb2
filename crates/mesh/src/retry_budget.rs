use std::{
    collections::{HashMap, VecDeque},
    rc::Rc,
    time::{Duration, Instant},
};

/// A part of the shared budget that stays unspent, since daemons count their windows apart.
const SPENDABLE_SHARE: f64 = 0.7;

/// Bounds the arrivals at targets beyond the first of each request.
///
/// A target that runs a request again makes its calls again, and these count where they arrive. So
/// the daemon beside it charges its requests with the share of repeats among the target's runs.
///
/// The budget is shared by all daemons without any message: each spends its share of the slack, by
/// the size of the fleet that it sees, and the ratio on the requests that it took in itself.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    services: HashMap<Rc<str>, ServiceWindow>,
    slack: f64,
    window: Duration,
}

#[derive(Debug, Default)]
struct ServiceWindow {
    fractional_retries: f64,
    retries: VecDeque<Instant>,
    requests: VecDeque<Instant>,
}

impl RetryBudget {
    /// Makes a budget of `ratio` repeats a request and `slack` repeats a fleet, in each `window`.
    #[must_use]
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self {
            ratio,
            services: HashMap::new(),
            slack,
            window,
        }
    }

    /// Takes over other bounds; what was counted stays.
    pub const fn set_bounds(&mut self, ratio: f64, slack: f64, window: Duration) {
        self.ratio = ratio;
        self.slack = slack;
        self.window = window;
    }

    /// Counts a request that a client sent for a service.
    pub fn record_request(&mut self, now: Instant, service: &Rc<str>) {
        let window = self.window;
        let counts = self.services.entry(service.clone()).or_default();
        remove_expired(&mut counts.requests, now, window);
        counts.requests.push_back(now);
    }

    /// Counts a part of a repeat that others caused: a call of a target that may run a request again.
    pub fn charge(&mut self, now: Instant, service: &Rc<str>, fraction: f64) {
        let window = self.window;
        let counts = self.services.entry(service.clone()).or_default();
        remove_expired(&mut counts.retries, now, window);
        counts.fractional_retries += fraction;
        if counts.fractional_retries >= 1.0 {
            counts.fractional_retries -= 1.0;
            counts.retries.push_back(now);
        }
    }

    /// Takes one repeat out of the budget; returns whether there was one left.
    #[allow(clippy::cast_precision_loss)]
    pub fn try_spend(&mut self, now: Instant, service: &Rc<str>, daemons: usize) -> bool {
        let counts = self.services.entry(service.clone()).or_default();
        let remaining = counts.remaining(
            now,
            self.window,
            self.ratio,
            self.slack / daemons.max(1) as f64,
        );
        if remaining >= 1 {
            counts.retries.push_back(now);
        }
        remaining >= 1
    }

    /// Returns how many repeats are left for the service that has the fewest.
    #[must_use]
    #[allow(clippy::cast_precision_loss)]
    pub fn least_remaining(&mut self, now: Instant, daemons: usize) -> i64 {
        let slack_share = self.slack / daemons.max(1) as f64;
        let (window, ratio) = (self.window, self.ratio);
        let remaining =
            |counts: &mut ServiceWindow| counts.remaining(now, window, ratio, slack_share);
        self.services
            .values_mut()
            .map(remaining)
            .min()
            .unwrap_or_default()
    }
}

impl ServiceWindow {
    /// Returns how many repeats are left; below zero if others caused more than that.
    #[allow(clippy::cast_possible_truncation, clippy::cast_precision_loss)]
    fn remaining(&mut self, now: Instant, window: Duration, ratio: f64, slack: f64) -> i64 {
        remove_expired(&mut self.retries, now, window);
        remove_expired(&mut self.requests, now, window);
        let allowed = SPENDABLE_SHARE * (ratio * self.requests.len() as f64 + slack);
        allowed.floor() as i64 - i64::try_from(self.retries.len()).unwrap_or(i64::MAX)
    }
}

fn remove_expired(times: &mut VecDeque<Instant>, now: Instant, window: Duration) {
    while times
        .front()
        .is_some_and(|time| now.saturating_duration_since(*time) > window)
    {
        times.pop_front();
    }
}
