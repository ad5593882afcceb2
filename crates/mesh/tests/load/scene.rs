//! The input and the outcome of a simulation.

use std::time::Duration;

/// How targets are chosen and how long requests may wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// The product's policy: the target with the soonest expected answer, and short queues.
    Product,
    /// The former policy, as a baseline: round robin, and queues in order of arrival until the deadline.
    RoundRobin,
}

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct RequestKind {
    pub deadline: Duration,
    pub per_s: f64,
    pub rank: u32,
    pub target_latency: Duration,
    pub work: Duration,
}

/// A fleet and its load.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Start, end and factor of a burst, in which requests arrive that many times as often.
    pub burst: Option<(Duration, Duration, f64)>,
    pub entries: usize,
    pub kinds: Vec<RequestKind>,
    pub length: Duration,
    /// The time from which on the given number of targets, counted from the first, is gone with their daemons.
    pub lost: Option<(Duration, usize)>,
    pub slots: u32,
    /// Each target's run time as a multiple of the work of a request.
    pub slowdowns: Vec<f64>,
}

/// The numbers of requests of one kind by result.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub sent: u32,
    pub in_time: u32,
    pub late: u32,
    pub longest_refused_wait: Duration,
    pub refused: u32,
}

impl Outcome {
    pub fn share_in_time(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.sent)
    }

    pub fn share_served(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.sent)
    }
}

/// A kind of request like the map reads of the smaller deployment.
pub fn map_read(per_s: f64) -> RequestKind {
    RequestKind {
        deadline: Duration::from_millis(800),
        per_s,
        rank: 2,
        target_latency: Duration::from_millis(200),
        work: Duration::from_millis(60),
    }
}

/// Returns the requests per second that targets with these slowdowns can serve.
pub fn capacity(slots: u32, slowdowns: &[f64], work: Duration) -> f64 {
    let per_slot: f64 = slowdowns.iter().map(|slowdown| 1.0 / slowdown).sum();
    per_slot * f64::from(slots) / work.as_secs_f64()
}
