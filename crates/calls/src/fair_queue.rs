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
/// Each request gets a virtual finish time that lies `1 / weight` after its customer's last one, and
/// the earliest is served first. A customer's own requests stay in order.
#[derive(Debug, Default)]
pub struct FairQueue {
    customers: HashMap<CustomerId, Backlog>,
    next_sequence: u64,
    places: HashMap<CallId, Place>,
    virtual_now: u64,
    waiting: BTreeMap<Place, GateWork>,
}

#[derive(Debug)]
struct Backlog {
    last_finish: u64,
    requests: u32,
    weight: u32,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Place {
    finish: u64,
    sequence: u64,
}

impl FairQueue {
    /// Returns the number of requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns how many would be served before a new request of this customer.
    #[must_use]
    pub fn ahead_of(&self, customer: &CustomerId, weight: u32) -> usize {
        let place = Place {
            finish: self.finish_of(customer, weight),
            sequence: self.next_sequence,
        };
        self.waiting.range(..place).count()
    }

    /// Adds a request.
    pub fn push(&mut self, work: GateWork) {
        let finish = self.finish_of(&work.customer, work.weight);
        let place = Place {
            finish,
            sequence: self.next_sequence,
        };
        self.next_sequence += 1;
        let backlog = self
            .customers
            .entry(work.customer.clone())
            .or_insert(Backlog {
                last_finish: 0,
                requests: 0,
                weight: work.weight.max(1),
            });
        backlog.last_finish = finish;
        backlog.requests += 1;
        self.places.insert(work.call, place);
        self.waiting.insert(place, work);
    }

    /// Takes the request whose turn it is.
    pub fn pop(&mut self) -> Option<GateWork> {
        let (place, work) = self.waiting.pop_first()?;
        self.virtual_now = self.virtual_now.max(place.finish);
        self.forget(&work);
        Some(work)
    }

    /// Takes a request out of turn.
    pub fn remove(&mut self, call: CallId) -> Option<GateWork> {
        let place = self.places.get(&call)?;
        let work = self.waiting.remove(place)?;
        self.forget(&work);
        Some(work)
    }

    /// Returns whether some customer has more of the queue for its weight than this one would
    /// have with one more request.
    #[must_use]
    pub fn has_larger_share_than(&self, customer: &CustomerId, weight: u32) -> bool {
        self.largest_above(customer, weight).is_some()
    }

    /// Takes the last request of the customer that has most of the queue for its weight, if
    /// [`FairQueue::has_larger_share_than`].
    pub fn displace_for(&mut self, customer: &CustomerId, weight: u32) -> Option<GateWork> {
        let largest = self.largest_above(customer, weight)?;
        let last = self.waiting.values().rev();
        let call = last
            .into_iter()
            .find(|work| work.customer == *largest)?
            .call;
        self.remove(call)
    }

    fn largest_above(&self, customer: &CustomerId, weight: u32) -> Option<&CustomerId> {
        let own = self.customers.get(customer).map_or(0, |b| b.requests) + 1;
        let (largest, backlog) =
            self.customers
                .iter()
                .max_by(|(left_id, left), (right_id, right)| {
                    let left_share = u64::from(left.requests) * u64::from(right.weight);
                    let right_share = u64::from(right.requests) * u64::from(left.weight);
                    left_share.cmp(&right_share).then(left_id.cmp(right_id))
                })?;
        let theirs = u64::from(backlog.requests) * u64::from(weight.max(1));
        let ours = u64::from(own) * u64::from(backlog.weight);
        (theirs > ours).then_some(largest)
    }

    /// Takes the requests whose deadline has passed.
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

    /// Returns the earliest deadline of those that wait.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        self.waiting.values().map(|work| work.deadline).min()
    }

    fn finish_of(&self, customer: &CustomerId, weight: u32) -> u64 {
        let last = self.customers.get(customer).map_or(0, |b| b.last_finish);
        self.virtual_now.max(last) + VIRTUAL_COST / u64::from(weight.max(1))
    }

    fn forget(&mut self, work: &GateWork) {
        self.places.remove(&work.call);
        if let Some(backlog) = self.customers.get_mut(&work.customer) {
            backlog.requests -= 1;
            if backlog.requests == 0 {
                self.customers.remove(&work.customer);
            }
        }
    }
}
