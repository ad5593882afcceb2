use std::{
    collections::{BTreeMap, HashMap},
    time::Instant,
};

use medlarspool_types::{CallId, CustomerId};

use crate::GateWork;

/// The virtual time that one request of a customer of weight 1 takes.
const VIRTUAL_COST: u64 = 1 << 20;

/// The requests that wait at a gate, ordered by weighted fair share between customers.
///
/// Each request gets a virtual finish time, `1 / weight` after that of its customer's previous
/// request, and the request with the earliest one is served first. The requests of one customer stay
/// in order.
#[derive(Debug, Default)]
pub struct FairQueue {
    customers: HashMap<CustomerId, Backlog>,
    next_sequence: u64,
    positions: HashMap<CallId, Position>,
    /// The virtual finish time of the last request that was served. A customer without waiting requests
    /// starts from it, so that it can't save up a share while it sends nothing.
    virtual_time: u64,
    waiting: BTreeMap<Position, GateWork>,
}

/// The waiting requests of one customer.
#[derive(Debug)]
struct Backlog {
    /// The virtual finish time of the last request that was added.
    last_finish: u64,
    request_count: u32,
    weight: u32,
}

/// The place of a request in the queue: by virtual finish time, then in the order of arrival.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Position {
    finish: u64,
    sequence: u64,
}

impl FairQueue {
    /// Returns the number of requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns how many waiting requests would be served before a new one of this customer.
    #[must_use]
    pub fn ahead_of(&self, customer: &CustomerId, weight: u32) -> usize {
        let position = Position {
            finish: self.virtual_finish_of(customer, weight),
            sequence: self.next_sequence,
        };
        self.waiting.range(..position).count()
    }

    /// Adds a request after the waiting ones of its customer.
    pub fn push(&mut self, work: GateWork) {
        let finish = self.virtual_finish_of(&work.customer, work.weight);
        let position = Position {
            finish,
            sequence: self.next_sequence,
        };
        self.next_sequence += 1;
        let backlog = self
            .customers
            .entry(work.customer.clone())
            .or_insert(Backlog {
                last_finish: 0,
                request_count: 0,
                weight: work.weight.max(1),
            });
        backlog.last_finish = finish;
        backlog.request_count += 1;
        self.positions.insert(work.call, position);
        self.waiting.insert(position, work);
    }

    /// Removes and returns the request that is served next.
    pub fn pop(&mut self) -> Option<GateWork> {
        let (position, work) = self.waiting.pop_first()?;
        self.virtual_time = self.virtual_time.max(position.finish);
        self.untrack(&work);
        Some(work)
    }

    /// Removes a request from anywhere in the queue, for instance because it was cancelled; returns
    /// `None` if it is not in the queue.
    pub fn remove(&mut self, call: CallId) -> Option<GateWork> {
        let position = self.positions.get(&call)?;
        let work = self.waiting.remove(position)?;
        self.untrack(&work);
        Some(work)
    }

    /// Returns whether some customer has more waiting requests in proportion to its weight than this
    /// customer would have with one more.
    #[must_use]
    pub fn has_larger_share_than(&self, customer: &CustomerId, weight: u32) -> bool {
        self.largest_share_above(customer, weight).is_some()
    }

    /// Removes the last request of the customer with the most waiting requests in proportion to its
    /// weight, if [`FairQueue::has_larger_share_than`] holds.
    pub fn displace_for(&mut self, customer: &CustomerId, weight: u32) -> Option<GateWork> {
        let largest = self.largest_share_above(customer, weight)?;
        let latest_first = self.waiting.values().rev();
        let call = latest_first
            .into_iter()
            .find(|work| work.customer == *largest)?
            .call;
        self.remove(call)
    }

    /// Returns the customer with the most waiting requests in proportion to its weight, if that is more
    /// than this customer would have with one more. Each count is multiplied by the other customer's
    /// weight, which compares the shares without a division.
    fn largest_share_above(&self, customer: &CustomerId, weight: u32) -> Option<&CustomerId> {
        let own_count = self.customers.get(customer).map_or(0, |b| b.request_count) + 1;
        let (largest, backlog) =
            self.customers
                .iter()
                .max_by(|(left_id, left), (right_id, right)| {
                    let left_share = u64::from(left.request_count) * u64::from(right.weight);
                    let right_share = u64::from(right.request_count) * u64::from(left.weight);
                    left_share.cmp(&right_share).then(left_id.cmp(right_id))
                })?;
        let largest_share = u64::from(backlog.request_count) * u64::from(weight.max(1));
        let own_share = u64::from(own_count) * u64::from(backlog.weight);
        (largest_share > own_share).then_some(largest)
    }

    /// Removes the requests whose deadline has passed.
    pub fn take_expired(&mut self, now: Instant) -> Vec<GateWork> {
        let expired: Vec<CallId> = self
            .waiting
            .values()
            .filter(|work| work.deadline <= now)
            .map(|work| work.call)
            .collect();
        expired
            .into_iter()
            .filter_map(|call| self.remove(call))
            .collect()
    }

    /// Returns the earliest deadline of the waiting requests, or `None` if none waits.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        self.waiting.values().map(|work| work.deadline).min()
    }

    fn virtual_finish_of(&self, customer: &CustomerId, weight: u32) -> u64 {
        let last = self.customers.get(customer).map_or(0, |b| b.last_finish);
        self.virtual_time.max(last) + VIRTUAL_COST / u64::from(weight.max(1))
    }

    fn untrack(&mut self, work: &GateWork) {
        self.positions.remove(&work.call);
        if let Some(backlog) = self.customers.get_mut(&work.customer) {
            backlog.request_count -= 1;
            if backlog.request_count == 0 {
                self.customers.remove(&work.customer);
            }
        }
    }
}
