//! What is played, and what came of it.

use std::time::Duration;

/// How targets are chosen and how long requests may wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// The product's: by expected answer, with short queues.
    Product,
    /// The old one, as a baseline: in turn, first come first served, until the deadline.
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
    /// Requests come so many times as often from the first to the second moment.
    pub burst: Option<(Duration, Duration, f64)>,
    pub entries: usize,
    pub kinds: Vec<RequestKind>,
    pub length: Duration,
    /// From when on the first so many targets are gone, and their daemons silent.
    pub lost: Option<(Duration, usize)>,
    pub slots: u32,
    /// How many times as long as the kind says each target works.
    pub slowdowns: Vec<f64>,
}

/// What became of the requests of one kind.
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

/// Returns the requests a second that targets of these speeds can serve.
pub fn capacity(slots: u32, slowdowns: &[f64], work: Duration) -> f64 {
    let per_slot: f64 = slowdowns.iter().map(|slowdown| 1.0 / slowdown).sum();
    per_slot * f64::from(slots) / work.as_secs_f64()
}
