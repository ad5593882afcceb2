use std::{
    cmp::Reverse,
    time::{Duration, Instant},
};

use crate::{GateDecision, GateRequest};

/// The slots of one target and the queue of requests that wait for them.
///
/// The more urgent rank goes first. Within a rank, requests that can still be answered within their target
/// latency go before those that can't, and each group is ordered by the latest on-time start.
///
/// A request is refused on arrival, not after a wait, if the requests ahead of it take longer than it may
/// wait: a longer queue serves no more requests, it only makes all of them late.
#[derive(Clone, Debug)]
pub struct GateQueue {
    next_ticket: u64,
    running_count: u32,
    running_expected_time: Duration,
    slots: u32,
    waiting: Vec<(u64, GateRequest)>,
}

impl GateQueue {
    /// Creates the queue of a target that runs `slots` requests concurrently.
    #[must_use]
    pub const fn new(slots: u32) -> Self {
        Self {
            next_ticket: 1,
            running_count: 0,
            running_expected_time: Duration::ZERO,
            slots,
            waiting: Vec::new(),
        }
    }

    /// Sets how many requests the target runs concurrently.
    pub const fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Starts a request in a free slot, queues it, or refuses it.
    ///
    /// It is refused if its expected wait exceeds `max_wait` or ends after its latest start. Only the running
    /// requests and the queued ones that go before it add to the expected wait.
    pub fn request_slot(
        &mut self,
        now: Instant,
        request: GateRequest,
        max_wait: Duration,
    ) -> GateDecision {
        if self.running_count < self.slots && self.waiting.is_empty() {
            self.start(&request);
            return GateDecision::Start;
        }
        let wait = self.wait_behind(|ahead| goes_before(now, ahead, &request));
        if wait > max_wait || now + wait > request.latest_start {
            return GateDecision::Refuse {
                expected_wait: wait,
            };
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.waiting.push((ticket, request));
        GateDecision::Wait(ticket)
    }

    /// Returns how long a new request of this rank would wait, behind all queued ones that are as urgent or more;
    /// `Duration::MAX` if the target has no slots.
    #[must_use]
    pub fn expected_wait(&self, rank: u32) -> Duration {
        self.wait_behind(|request| request.rank <= rank)
    }

    /// Returns the expected wait for a slot behind the running requests and those queued requests for which
    /// `is_ahead` returns true.
    fn wait_behind(&self, is_ahead: impl Fn(&GateRequest) -> bool) -> Duration {
        if self.slots == 0 {
            return Duration::MAX;
        }
        if self.running_count < self.slots && self.waiting.is_empty() {
            return Duration::ZERO;
        }
        let ahead: Duration = self
            .waiting
            .iter()
            .filter(|(_, request)| is_ahead(request))
            .map(|(_, request)| request.expected_run_time)
            .sum();
        // Running requests are half done on average; the first one to finish frees a slot.
        let mean_remaining = self.running_expected_time / 2 / self.running_count.max(1);
        ahead / self.slots + mean_remaining / self.slots
    }

    /// Frees the slot of a run that ended; `expected_run_time` is the time that was expected when it started.
    pub fn finish(&mut self, expected_run_time: Duration) {
        self.running_count = self.running_count.saturating_sub(1);
        self.running_expected_time = self.running_expected_time.saturating_sub(expected_run_time);
    }

    /// Removes a queued request that was abandoned.
    pub fn cancel(&mut self, ticket: u64) {
        self.waiting.retain(|(other, _)| *other != ticket);
    }

    /// Removes all queued requests, since the target is gone; returns their tickets.
    pub fn clear(&mut self) -> Vec<u64> {
        self.waiting.drain(..).map(|(ticket, _)| ticket).collect()
    }

    /// Starts the next queued request if a slot is free; returns its ticket and its expected run time.
    pub fn start_next(&mut self, now: Instant) -> Option<(u64, Duration)> {
        if self.running_count >= self.slots {
            return None;
        }
        let (index, _) = self
            .waiting
            .iter()
            .enumerate()
            .max_by_key(|(_, (ticket, request))| {
                (Reverse(priority_key(now, request)), Reverse(*ticket))
            })?;
        let (ticket, request) = self.waiting.remove(index);
        self.start(&request);
        Some((ticket, request.expected_run_time))
    }

    /// Returns the number of requests that occupy a slot.
    #[must_use]
    pub const fn running_count(&self) -> u32 {
        self.running_count
    }

    /// Returns the number of queued requests that are as urgent as this rank or more.
    #[must_use]
    pub fn waiting_count(&self, rank: u32) -> usize {
        let is_as_urgent = |(_, request): &&(u64, GateRequest)| request.rank <= rank;
        self.waiting.iter().filter(is_as_urgent).count()
    }

    fn start(&mut self, request: &GateRequest) {
        self.running_count += 1;
        self.running_expected_time += request.expected_run_time;
    }
}

/// Returns a key by which requests are ordered; the lowest one goes first.
fn priority_key(now: Instant, request: &GateRequest) -> (u32, bool, Instant) {
    (
        request.rank,
        request.latest_on_time_start < now,
        request.latest_on_time_start,
    )
}

fn goes_before(now: Instant, ahead: &GateRequest, request: &GateRequest) -> bool {
    priority_key(now, ahead) <= priority_key(now, request)
}
