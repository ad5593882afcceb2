//! The input and the outcome of a simulation.

use std::time::Duration;

/// How targets are chosen and how long requests may wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Policy {
    /// An earlier policy of the product, as a baseline: like the present one, but requests that will be late wait
    /// for a tenth of the time between the target latency and the deadline.
    #[allow(dead_code)] // Only the tests of load patterns use it.
    LongWaits,
    /// The product's policy: the target with the soonest expected answer, and short queues.
    Product,
    /// The former policy, as a baseline: round robin, and queues in order of arrival until the deadline.
    #[allow(dead_code)] // Only the tests of load patterns use it.
    RoundRobin,
    /// An earlier policy of the product, as a baseline: like the present one, but requests wait until a run of mean length
    /// would still be in time.
    #[allow(dead_code)] // Only the tests of load patterns use it.
    WaitsForMeanRun,
    /// An earlier policy of the product, as a baseline: accounts share one order at gates, and entries refuse by the
    /// loads of gates alone.
    #[allow(dead_code)] // Only the tests of accounts use it.
    WithoutAccounts,
}

/// A kind of request; its deadline and target latency count from its arrival.
#[derive(Clone, Copy, Debug)]
pub struct RequestKind {
    /// The number of the account that sends the requests.
    pub account: Option<u32>,
    pub deadline: Duration,
    /// Whether targets make the requests while they run others.
    pub is_call: bool,
    pub requests_per_s: f64,
    pub rank: u32,
    pub target_latency: Duration,
    pub base_run_time: Duration,
}

/// A fleet and its load; each target has `slots` slots.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Start, end and factor of a burst, in which the rate of arrivals is multiplied by the factor.
    pub burst: Option<(Duration, Duration, f64)>,
    pub entry_count: usize,
    pub kinds: Vec<RequestKind>,
    /// How many targets, the ones with the lowest indices, name a limit, and the requests per second that it allows.
    pub limited_targets: Option<(usize, f64)>,
    /// How long requests arrive.
    pub duration: Duration,
    /// When targets are lost together with their daemons, and how many; the ones with the lowest indices are lost.
    pub lost_targets: Option<(Duration, usize)>,
    /// How often the client of a refused request sends it again.
    pub return_count: u32,
    /// The largest deviation of a run time from its mean, as a share of the mean.
    pub run_time_deviation: f64,
    pub slots: u32,
    /// Each target's run time as a multiple of the work of a request.
    pub slowdowns: Vec<f64>,
}

/// The numbers of requests of one kind by result, and the longest time from an arrival to a refusal. A request that is sent
/// again counts once; its time runs from the first attempt.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// How often gates refused requests on their arrival.
    #[allow(dead_code)] // Only the tests of accounts use it.
    pub gate_refused_count: u32,
    pub sent_count: u32,
    pub in_time_count: u32,
    pub late_count: u32,
    pub longest_refused_wait: Duration,
    pub refused_count: u32,
}

impl Outcome {
    pub fn share_in_time(&self) -> f64 {
        f64::from(self.in_time_count) / f64::from(self.sent_count)
    }

    pub fn share_served(&self) -> f64 {
        f64::from(self.in_time_count + self.late_count) / f64::from(self.sent_count)
    }
}

/// A kind of request like the map reads of the smaller deployment.
pub fn map_read(requests_per_s: f64) -> RequestKind {
    RequestKind {
        account: None,
        deadline: Duration::from_millis(800),
        is_call: false,
        requests_per_s,
        rank: 2,
        target_latency: Duration::from_millis(200),
        base_run_time: Duration::from_millis(60),
    }
}

/// Returns the requests per second that targets with these slowdowns can serve.
pub fn capacity(slots: u32, slowdowns: &[f64], base_run_time: Duration) -> f64 {
    let per_slot: f64 = slowdowns.iter().map(|slowdown| 1.0 / slowdown).sum();
    per_slot * f64::from(slots) / base_run_time.as_secs_f64()
}
