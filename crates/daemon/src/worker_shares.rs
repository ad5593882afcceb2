use std::{
    collections::HashMap,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
};

use medlarspool_types::CustomerId;

/// Limits the callers' requests that are handled at once, and how many of those one customer may have.
///
/// A caller that finds no worker free is refused at once with a retry delay. It would otherwise wait in the
/// server's queue, where its deadline is not checked.
pub(crate) struct WorkerShares {
    busy_count: AtomicUsize,
    customer_workers: Mutex<HashMap<CustomerId, usize>>,
    worker_count: usize,
}

/// A worker in use; dropping the guard releases it.
pub(crate) struct WorkerGuard<'shares> {
    shares: &'shares WorkerShares,
}

/// A worker that counts against a customer's limit; dropping the guard decreases the customer's count.
pub(crate) struct CustomerGuard<'shares> {
    customer: CustomerId,
    shares: &'shares WorkerShares,
}

impl WorkerShares {
    pub(crate) fn new(worker_count: usize) -> Self {
        Self {
            busy_count: AtomicUsize::new(0),
            customer_workers: Mutex::default(),
            worker_count,
        }
    }

    /// Takes a worker for a request; returns `None` if all are busy.
    pub(crate) fn take_worker(&self) -> Option<WorkerGuard<'_>> {
        let guard = WorkerGuard { shares: self };
        let busy_before = self.busy_count.fetch_add(1, Ordering::AcqRel);
        (busy_before < self.worker_count).then_some(guard)
    }

    /// Counts a worker against its request's customer; returns `None` if that customer already has
    /// half of the workers.
    pub(crate) fn charge_customer(&self, customer: &CustomerId) -> Option<CustomerGuard<'_>> {
        let mut by_customer = self.lock();
        let in_use = by_customer.entry(customer.clone()).or_default();
        if *in_use >= self.worker_count.div_ceil(2) {
            return None;
        }
        *in_use += 1;
        Some(CustomerGuard {
            customer: customer.clone(),
            shares: self,
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<CustomerId, usize>> {
        self.customer_workers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for CustomerGuard<'_> {
    fn drop(&mut self) {
        let mut by_customer = self.shares.lock();
        let Some(in_use) = by_customer.get_mut(&self.customer) else {
            return;
        };
        *in_use -= 1;
        if *in_use == 0 {
            by_customer.remove(&self.customer);
        }
    }
}

impl Drop for WorkerGuard<'_> {
    fn drop(&mut self) {
        self.shares.busy_count.fetch_sub(1, Ordering::AcqRel);
    }
}
