use std::time::{Duration, Instant};

use medlarspool_calls::Idempotency;
use medlarspool_types::InstanceId;

/// One request of the model; its customer, entry and service are given by index.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) arrived_at: Instant,
    pub(crate) customer: u32,
    pub(crate) entry: usize,
    pub(crate) idempotency: Idempotency,
    /// Whether the caller has an answer or the request was given up.
    pub(crate) is_done: bool,
    /// The index of the request's last attempt.
    pub(crate) last_attempt: usize,
    /// Whether an attempt ended without a reply and may have run.
    pub(crate) may_have_run: bool,
    /// How often upstreams began to run the request.
    pub(crate) run_count: u32,
    pub(crate) service: usize,
    /// The instance that each attempt was sent to.
    pub(crate) tried_instances: Vec<InstanceId>,
}

impl Request {
    pub(crate) fn new(
        arrived_at: Instant,
        customer: u32,
        entry: usize,
        idempotency: Idempotency,
        service: usize,
    ) -> Self {
        Self {
            arrived_at,
            customer,
            entry,
            idempotency,
            is_done: false,
            last_attempt: 0,
            may_have_run: false,
            run_count: 0,
            service,
            tried_instances: Vec::new(),
        }
    }

    pub(crate) fn attempt_count(&self) -> u32 {
        u32::try_from(self.tried_instances.len()).unwrap_or(u32::MAX)
    }
}

/// One attempt of a request, sent to one upstream; request and upstream are given by index.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) expected_latency: Duration,
    /// Whether the entry still waits for the attempt's reply.
    pub(crate) is_open: bool,
    pub(crate) request: usize,
    pub(crate) sent_at: Instant,
    pub(crate) upstream: usize,
}
