use medlarspool_types::{CustomerId, PlanId, ServiceName};
use serde::{Deserialize, Serialize};

use crate::{CustomerEntry, EntryKey, PlanEntry, ServiceEntry};

/// A change of one entry: it is added, replaces the entry with its key, or is removed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryChange {
    /// A customer is added or replaced.
    PutCustomer(CustomerEntry),
    /// A plan is added or replaced.
    PutPlan(PlanEntry),
    /// A service is added or replaced.
    PutService(ServiceEntry),
    /// A customer is removed.
    RemoveCustomer(CustomerId),
    /// A plan is removed.
    RemovePlan(PlanId),
    /// A service is removed.
    RemoveService(ServiceName),
}

impl EntryChange {
    /// Returns the key of the changed entry.
    #[must_use]
    pub fn key(&self) -> EntryKey {
        match self {
            Self::PutCustomer(entry) => EntryKey::Customer(entry.customer.clone()),
            Self::PutPlan(entry) => EntryKey::Plan(entry.plan.clone()),
            Self::PutService(entry) => EntryKey::Service(entry.service.clone()),
            Self::RemoveCustomer(customer) => EntryKey::Customer(customer.clone()),
            Self::RemovePlan(plan) => EntryKey::Plan(plan.clone()),
            Self::RemoveService(service) => EntryKey::Service(service.clone()),
        }
    }
}
