use std::time::{Duration, Instant};

use medlarspool_calls::Idempotency;
use medlarspool_types::InstanceId;

/// One request of the model.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) arrived: Instant,
    pub(crate) customer: u32,
    pub(crate) entry: usize,
    pub(crate) idempotency: Idempotency,
    pub(crate) is_done: bool,
    pub(crate) last_attempt: usize,
    pub(crate) may_have_run: bool,
    pub(crate) runs: u32,
    pub(crate) service: usize,
    pub(crate) tried: Vec<InstanceId>,
}

impl Request {
    pub(crate) fn new(
        arrived: Instant,
        customer: u32,
        entry: usize,
        idempotency: Idempotency,
        service: usize,
    ) -> Self {
        Self {
            arrived,
            customer,
            entry,
            idempotency,
            is_done: false,
            last_attempt: 0,
            may_have_run: false,
            runs: 0,
            service,
            tried: Vec::new(),
        }
    }

    pub(crate) fn attempts(&self) -> u32 {
        u32::try_from(self.tried.len()).unwrap_or(u32::MAX)
    }
}

/// One attempt of a request, sent to one upstream.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) expected_latency: Duration,
    pub(crate) is_open: bool,
    pub(crate) request: usize,
    pub(crate) sent_at: Instant,
    pub(crate) upstream: usize,
}
