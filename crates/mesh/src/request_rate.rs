use std::time::Duration;

/// A rate of requests, stored as a whole number so that daemons send and compare it exactly.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestRate {
    requests_per_1000_s: u32,
}

impl RequestRate {
    /// Creates a rate from requests per 1,000 seconds.
    #[must_use]
    pub const fn from_requests_per_1000_s(requests_per_1000_s: u32) -> Self {
        Self {
            requests_per_1000_s,
        }
    }

    /// Creates a rate from requests per second, rounded down to a thousandth; none unless it is a finite number
    /// and not negative.
    #[must_use]
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    pub fn from_requests_per_s(requests_per_s: f64) -> Option<Self> {
        (requests_per_s.is_finite() && requests_per_s >= 0.0)
            .then(|| Self::from_requests_per_1000_s((requests_per_s * 1_000.0) as u32))
    }

    /// Returns the rate in requests per 1,000 seconds.
    #[must_use]
    pub const fn requests_per_1000_s(self) -> u32 {
        self.requests_per_1000_s
    }

    /// Returns the rate in requests per second.
    #[must_use]
    pub fn requests_per_s(self) -> f64 {
        f64::from(self.requests_per_1000_s) / 1_000.0
    }

    /// Returns the time between two requests at this rate; none if it is zero.
    #[must_use]
    pub fn interval(self) -> Option<Duration> {
        (self.requests_per_1000_s > 0)
            .then(|| Duration::from_secs(1_000) / self.requests_per_1000_s)
    }
}
