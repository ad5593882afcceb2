use std::time::Duration;

/// A run takes at most this multiple of its mean time in most cases. A request that starts later than this before
/// the end of the target latency is more likely to be late than not.
const USUAL_RUN_FACTOR: f64 = 1.8;

/// How long a request that can't be answered in time waits for a slot that is about to be free, as a share of its
/// run time. At a slow target all requests are of this kind; with a share of 0.25 its slots were free for a tenth of the
/// time while requests were refused.
const LATE_WAIT_SHARE: f64 = 0.5;

/// The target latency that a request has left, from which its place in a queue and its longest wait follow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LatencyGoal {
    /// What remains of the time within which a response is worth most.
    pub target_latency: Duration,
}

impl LatencyGoal {
    /// Returns how long a request may wait for a run that takes `run_time` in the mean and still be in time in most
    /// cases.
    #[must_use]
    pub fn on_time_wait(&self, run_time: Duration) -> Duration {
        self.target_latency
            .saturating_sub(run_time.mul_f64(USUAL_RUN_FACTOR))
    }

    /// Returns how long a request may wait for a run that takes `run_time`, with `remaining` until its deadline.
    ///
    /// A request waits only as long as it would be in time in most cases, and one that can't be in time any more for a
    /// moment. In a lasting overload every queue is as long as it may be, and the slots are busy however short it is:
    /// with longer waits as many requests are served, but most of them late.
    #[must_use]
    pub fn max_wait(&self, remaining: Duration, run_time: Duration) -> Duration {
        self.on_time_wait(run_time)
            .max(run_time.mul_f64(LATE_WAIT_SHARE))
            .min(remaining.saturating_sub(run_time))
    }
}
