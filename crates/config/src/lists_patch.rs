use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    ConfigError, EntryChange, EntryKey, Lists, PlanEntry, ServiceEntry, check,
    customer_pages::CustomerPages, lists, page_key::PageKey,
};

/// The changes that turn one version of the lists into another, sorted by the entries' keys.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "Vec<EntryChange>", into = "Vec<EntryChange>")]
pub struct ListsPatch(Vec<EntryChange>);

impl ListsPatch {
    /// Builds a patch; the last of several changes of one entry wins.
    #[must_use]
    pub fn new(changes: impl IntoIterator<Item = EntryChange>) -> Self {
        let by_key: BTreeMap<_, _> = changes.into_iter().map(|c| (c.key(), c)).collect();
        Self(by_key.into_values().collect())
    }

    /// Computes the changes between two versions; pages of customers that both share are skipped.
    #[must_use]
    pub fn between(from: &Lists, to: &Lists) -> Self {
        let put = to.by_customer.differing_from(&from.by_customer);
        let mut changes: Vec<_> = put.cloned().map(EntryChange::PutCustomer).collect();
        let removed = from.by_customer.differing_from(&to.by_customer);
        let removed = removed.filter(|entry| to.customer(&entry.customer).is_none());
        changes.extend(removed.map(|entry| EntryChange::RemoveCustomer(entry.customer.clone())));
        changes.extend(plan_changes(from, to));
        changes.extend(service_changes(from, to));
        Self::new(changes)
    }

    /// Returns the changes, sorted by the keys of their entries, at most one for each.
    #[must_use]
    pub fn changes(&self) -> &[EntryChange] {
        &self.0
    }

    /// Returns the keys of the changed entries.
    pub fn keys(&self) -> impl Iterator<Item = EntryKey> + '_ {
        self.0.iter().map(EntryChange::key)
    }

    /// Applies the changes; the result shares unchanged parts with `lists` in memory.
    ///
    /// # Errors
    ///
    /// Fails if the resulting lists fail their checks.
    pub fn apply(&self, lists: &Lists) -> Result<Lists, ConfigError> {
        let (plans, services) = (self.patched_plans(lists), self.patched_services(lists));
        let mut customers = lists.by_customer.clone();
        let mut credentials = lists.by_credential.clone();
        self.remove_old_customers(&mut customers, &mut credentials);
        self.insert_customers(&plans, &mut customers, &mut credentials)?;
        check::check_counts(customers.iter().len(), plans.len(), services.len())?;
        if self.changes_plans() {
            check::check_services(&services)?;
            check::check_plans(&plans, &services)?;
        }
        if self.removes_a_plan() {
            check_customer_plans(&customers, &plans)?;
        }
        Ok(Lists::from_parts(customers, credentials, plans, services))
    }

    fn changes_plans(&self) -> bool {
        let is_customer = |change: &EntryChange| matches!(change.key(), EntryKey::Customer(_));
        !self.0.iter().all(is_customer)
    }

    fn removes_a_plan(&self) -> bool {
        let removes = |change: &EntryChange| matches!(change, EntryChange::RemovePlan(_));
        self.0.iter().any(removes)
    }

    /// Removes the old entries of customers that are removed or replaced, before any new entry is inserted,
    /// so that two customers can exchange their credentials.
    fn remove_old_customers(&self, customers: &mut CustomerPages, credentials: &mut CustomerPages) {
        for change in &self.0 {
            let customer = match change {
                EntryChange::PutCustomer(entry) => &entry.customer,
                EntryChange::RemoveCustomer(customer) => customer,
                _ => continue,
            };
            if let Some(old) = customers.remove(PageKey::Customer(customer)) {
                credentials.remove(PageKey::Credential(&old.credential_sha256));
            }
        }
    }

    /// Inserts the new entries; fails if another customer has the same credential.
    fn insert_customers(
        &self,
        plans: &[PlanEntry],
        customers: &mut CustomerPages,
        credentials: &mut CustomerPages,
    ) -> Result<(), ConfigError> {
        for change in &self.0 {
            let EntryChange::PutCustomer(entry) = change else {
                continue;
            };
            let entry = lists::share_plan_id(entry.clone(), plans)?;
            customers.insert(&entry);
            if let Some(other) = credentials.insert(&entry) {
                return Err(check::duplicate_credential(&other, &entry));
            }
        }
        Ok(())
    }

    fn patched_plans(&self, lists: &Lists) -> Arc<Vec<PlanEntry>> {
        let mut plans = Arc::clone(&lists.plans);
        for change in &self.0 {
            match change {
                EntryChange::PutPlan(entry) => {
                    let plans = Arc::make_mut(&mut plans);
                    let mut entry = entry.clone();
                    entry.uses.sort();
                    match plans.binary_search_by(|existing| existing.plan.cmp(&entry.plan)) {
                        Ok(index) => plans[index] = entry,
                        Err(index) => plans.insert(index, entry),
                    }
                }
                EntryChange::RemovePlan(plan) => {
                    Arc::make_mut(&mut plans).retain(|existing| existing.plan != *plan);
                }
                _ => {}
            }
        }
        plans
    }

    fn patched_services(&self, lists: &Lists) -> Arc<Vec<ServiceEntry>> {
        let mut services = Arc::clone(&lists.services);
        for change in &self.0 {
            match change {
                EntryChange::PutService(entry) => {
                    let services = Arc::make_mut(&mut services);
                    match services.binary_search_by(|existing| existing.service.cmp(&entry.service))
                    {
                        Ok(index) => services[index] = entry.clone(),
                        Err(index) => services.insert(index, entry.clone()),
                    }
                }
                EntryChange::RemoveService(service) => {
                    Arc::make_mut(&mut services).retain(|existing| existing.service != *service);
                }
                _ => {}
            }
        }
        services
    }
}

impl From<ListsPatch> for Vec<EntryChange> {
    fn from(patch: ListsPatch) -> Self {
        patch.0
    }
}

impl From<Vec<EntryChange>> for ListsPatch {
    fn from(changes: Vec<EntryChange>) -> Self {
        Self::new(changes)
    }
}

/// Returns an error if the plan of any customer was removed.
fn check_customer_plans(customers: &CustomerPages, plans: &[PlanEntry]) -> Result<(), ConfigError> {
    let mut customers = customers.iter();
    let orphan = customers.find(|entry| check::find_plan(plans, &entry.plan).is_none());
    orphan.map_or(Ok(()), |entry| {
        Err(ConfigError::Unknown {
            key: EntryKey::Customer(entry.customer.clone()),
            missing: EntryKey::Plan(entry.plan.clone()),
        })
    })
}

fn plan_changes(from: &Lists, to: &Lists) -> Vec<EntryChange> {
    let put = to
        .plans()
        .iter()
        .filter(|entry| from.plan(&entry.plan) != Some(entry));
    let put = put.cloned().map(EntryChange::PutPlan);
    let removed = from
        .plans()
        .iter()
        .filter(|entry| to.plan(&entry.plan).is_none());
    let removed = removed.map(|entry| EntryChange::RemovePlan(entry.plan.clone()));
    put.chain(removed).collect()
}

fn service_changes(from: &Lists, to: &Lists) -> Vec<EntryChange> {
    let put = to
        .services()
        .iter()
        .filter(|entry| from.service(&entry.service) != Some(entry));
    let put = put.cloned().map(EntryChange::PutService);
    let removed = from
        .services()
        .iter()
        .filter(|entry| to.service(&entry.service).is_none());
    let removed = removed.map(|entry| EntryChange::RemoveService(entry.service.clone()));
    put.chain(removed).collect()
}
