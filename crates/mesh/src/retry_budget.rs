use std::{
    collections::{HashMap, VecDeque},
    rc::Rc,
    time::{Duration, Instant},
};

/// The share of the fleet's budget that may be spent. The rest is a margin, since each daemon counts its own
/// window.
const SPENDABLE_SHARE: f64 = 0.7;

/// Limits the retries for each service. A retry is an arrival of a request at a target beyond the first one.
///
/// A target that runs a retry makes the calls of that request again, and these count as retries of the
/// services called. So a retry is paid for at each of these services before it is sent. Only if the entry doesn't
/// know which services the run calls, the daemon beside the target charges each of its calls with the share of
/// unpaid retries among the requests that the target runs.
///
/// The fleet shares the budget without exchanging messages: each daemon spends an equal part of the slack, by
/// the size of the fleet that it sees, and `ratio` retries per request that it received itself.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    services: HashMap<Rc<str>, ServiceWindow>,
    slack: f64,
    window: Duration,
}

#[derive(Debug, Default)]
struct ServiceWindow {
    /// The sum of the charged fractions that is less than a whole retry.
    fractional_retries: f64,
    retry_times: VecDeque<Instant>,
    request_times: VecDeque<Instant>,
}

impl RetryBudget {
    /// Creates a budget of `ratio` retries per request and `slack` retries per fleet, in each `window`.
    #[must_use]
    pub fn new(ratio: f64, slack: f64, window: Duration) -> Self {
        Self {
            ratio,
            services: HashMap::new(),
            slack,
            window,
        }
    }

    /// Sets new bounds; requests and retries that were counted stay counted.
    pub const fn set_bounds(&mut self, ratio: f64, slack: f64, window: Duration) {
        self.ratio = ratio;
        self.slack = slack;
        self.window = window;
    }

    /// Counts a client's request to a service.
    pub fn record_request(&mut self, now: Instant, service: &Rc<str>) {
        let window = self.window;
        let service_window = self.services.entry(service.clone()).or_default();
        remove_expired(&mut service_window.request_times, now, window);
        service_window.request_times.push_back(now);
    }

    /// Counts a number of retries, which may be a fraction: a call of a target that may be running a retry itself
    /// counts as the chance of that.
    pub fn charge(&mut self, now: Instant, service: &Rc<str>, retries: f64) {
        let window = self.window;
        let service_window = self.services.entry(service.clone()).or_default();
        remove_expired(&mut service_window.retry_times, now, window);
        service_window.fractional_retries += retries;
        while service_window.fractional_retries >= 1.0 {
            service_window.fractional_retries -= 1.0;
            service_window.retry_times.push_back(now);
        }
    }

    /// Spends a retry at each of the services if each one's budget covers it; returns whether it did. A cost is a
    /// number of retries, which may be a fraction in the mean of many requests.
    pub fn try_spend(
        &mut self,
        now: Instant,
        costs: &[(Rc<str>, f64)],
        daemon_count: usize,
    ) -> bool {
        let is_covered = self.covers(now, costs, daemon_count);
        if is_covered {
            for (service, cost) in costs {
                self.charge(now, service, *cost);
            }
        }
        is_covered
    }

    /// Returns whether the budget of each of the services covers a retry with these costs.
    pub fn covers(&mut self, now: Instant, costs: &[(Rc<str>, f64)], daemon_count: usize) -> bool {
        let slack_share = self.slack_share(daemon_count);
        let (window, ratio) = (self.window, self.ratio);
        costs.iter().all(|(service, cost)| {
            let service_window = self.services.entry(service.clone()).or_default();
            service_window.remaining(now, window, ratio, slack_share) >= *cost
        })
    }

    /// Returns the remaining retries of the service that has the fewest; 0 if no service was used.
    #[must_use]
    pub fn least_remaining(&mut self, now: Instant, daemon_count: usize) -> f64 {
        let slack_share = self.slack_share(daemon_count);
        let (window, ratio) = (self.window, self.ratio);
        let remaining = |service_window: &mut ServiceWindow| {
            service_window.remaining(now, window, ratio, slack_share)
        };
        self.services
            .values_mut()
            .map(remaining)
            .min_by(f64::total_cmp)
            .unwrap_or_default()
    }

    /// Returns the part of the slack that this daemon may spend.
    #[allow(clippy::cast_precision_loss)]
    fn slack_share(&self, daemon_count: usize) -> f64 {
        self.slack / daemon_count.max(1) as f64
    }
}

impl ServiceWindow {
    /// Returns the remaining retries; negative if charges took more than the budget.
    #[allow(clippy::cast_precision_loss)]
    fn remaining(&mut self, now: Instant, window: Duration, ratio: f64, slack_share: f64) -> f64 {
        remove_expired(&mut self.retry_times, now, window);
        remove_expired(&mut self.request_times, now, window);
        let allowed = SPENDABLE_SHARE * (ratio * self.request_times.len() as f64 + slack_share);
        allowed - self.retry_times.len() as f64 - self.fractional_retries
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
