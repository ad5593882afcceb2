use std::collections::BTreeMap;

use crate::{ConfigError, EntryChange, EntryKey, Lists};

/// The entries in which two lists differ, in the order of their keys.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ListsPatch(Vec<EntryChange>);

impl ListsPatch {
    /// Makes a patch; of several changes of one entry the last counts.
    #[must_use]
    pub fn new(changes: impl IntoIterator<Item = EntryChange>) -> Self {
        let by_key: BTreeMap<_, _> = changes.into_iter().map(|c| (c.key(), c)).collect();
        Self(by_key.into_values().collect())
    }

    /// Finds what turns one list into another.
    #[must_use]
    pub fn between(from: &Lists, to: &Lists) -> Self {
        let mut changes = Vec::new();
        for entry in to.customers() {
            if from.customer(&entry.customer) != Some(entry) {
                changes.push(EntryChange::PutCustomer(entry.clone()));
            }
        }
        for entry in to.plans() {
            if from.plan(&entry.plan) != Some(entry) {
                changes.push(EntryChange::PutPlan(entry.clone()));
            }
        }
        for entry in to.services() {
            if from.service(&entry.service) != Some(entry) {
                changes.push(EntryChange::PutService(entry.clone()));
            }
        }
        let customers = from.customers().iter().map(|e| &e.customer);
        let gone = customers.filter(|id| to.customer(id).is_none());
        changes.extend(gone.cloned().map(EntryChange::RemoveCustomer));
        let plans = from.plans().iter().map(|e| &e.plan);
        let gone = plans.filter(|id| to.plan(id).is_none());
        changes.extend(gone.cloned().map(EntryChange::RemovePlan));
        let services = from.services().iter().map(|e| &e.service);
        let gone = services.filter(|name| to.service(name).is_none());
        changes.extend(gone.cloned().map(EntryChange::RemoveService));
        Self::new(changes)
    }

    /// Returns the changes.
    #[must_use]
    pub fn changes(&self) -> &[EntryChange] {
        &self.0
    }

    /// Returns the keys of the changed entries.
    pub fn keys(&self) -> impl Iterator<Item = EntryKey> + '_ {
        self.0.iter().map(EntryChange::key)
    }

    /// Applies the changes and checks the result whole.
    ///
    /// # Errors
    ///
    /// Fails if the resulting lists are not fit to be accepted.
    pub fn apply(&self, lists: &Lists) -> Result<Lists, ConfigError> {
        let by_id = |e: &crate::CustomerEntry| (e.customer.clone(), e.clone());
        let mut customers: BTreeMap<_, _> = lists.customers().iter().map(by_id).collect();
        let by_id = |e: &crate::PlanEntry| (e.plan.clone(), e.clone());
        let mut plans: BTreeMap<_, _> = lists.plans().iter().map(by_id).collect();
        let by_name = |e: &crate::ServiceEntry| (e.service.clone(), e.clone());
        let mut services: BTreeMap<_, _> = lists.services().iter().map(by_name).collect();
        for change in &self.0 {
            match change.clone() {
                EntryChange::PutCustomer(entry) => {
                    customers.insert(entry.customer.clone(), entry);
                }
                EntryChange::PutPlan(entry) => {
                    plans.insert(entry.plan.clone(), entry);
                }
                EntryChange::PutService(entry) => {
                    services.insert(entry.service.clone(), entry);
                }
                EntryChange::RemoveCustomer(customer) => {
                    customers.remove(&customer);
                }
                EntryChange::RemovePlan(plan) => {
                    plans.remove(&plan);
                }
                EntryChange::RemoveService(service) => {
                    services.remove(&service);
                }
            }
        }
        Lists::new(
            customers.into_values().collect(),
            plans.into_values().collect(),
            services.into_values().collect(),
        )
    }
}
