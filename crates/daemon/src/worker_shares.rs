use std::{
    collections::HashMap,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
};

use medlarspool_types::CustomerId;

/// Shares the callers' workers out, so that waiting callers are bounded and no customer takes all.
///
/// Whoever finds no worker free is told at once when to come back, instead of waiting unseen in front
/// of the daemon until its deadline has passed.
pub(crate) struct WorkerShares {
    busy: AtomicUsize,
    by_customer: Mutex<HashMap<CustomerId, usize>>,
    workers: usize,
}

/// One worker that is taken; dropping it releases the worker.
pub(crate) struct WorkerGuard<'shares> {
    shares: &'shares WorkerShares,
}

/// One worker that counts against a customer; dropping it releases the share.
pub(crate) struct CustomerGuard<'shares> {
    customer: CustomerId,
    shares: &'shares WorkerShares,
}

impl WorkerShares {
    pub(crate) fn new(workers: usize) -> Self {
        Self {
            busy: AtomicUsize::new(0),
            by_customer: Mutex::default(),
            workers,
        }
    }

    /// Takes a worker for a request, or nothing if all are busy.
    pub(crate) fn take_worker(&self) -> Option<WorkerGuard<'_>> {
        let guard = WorkerGuard { shares: self };
        let busy = self.busy.fetch_add(1, Ordering::AcqRel);
        (busy < self.workers).then_some(guard)
    }

    /// Counts the request against its customer, or nothing if that customer holds half of the workers.
    pub(crate) fn charge_customer(&self, customer: &CustomerId) -> Option<CustomerGuard<'_>> {
        let mut by_customer = self.lock();
        let held = by_customer.entry(customer.clone()).or_default();
        if *held >= self.workers.div_ceil(2) {
            return None;
        }
        *held += 1;
        Some(CustomerGuard {
            customer: customer.clone(),
            shares: self,
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<CustomerId, usize>> {
        self.by_customer
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for CustomerGuard<'_> {
    fn drop(&mut self) {
        let mut by_customer = self.shares.lock();
        let Some(held) = by_customer.get_mut(&self.customer) else {
            return;
        };
        *held -= 1;
        if *held == 0 {
            by_customer.remove(&self.customer);
        }
    }
}

impl Drop for WorkerGuard<'_> {
    fn drop(&mut self) {
        self.shares.busy.fetch_sub(1, Ordering::AcqRel);
    }
}
