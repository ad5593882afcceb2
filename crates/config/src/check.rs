//! The checks that lists must pass before they are accepted and before requests are routed by them.

use std::{collections::HashMap, fmt::Display, hash::Hash};

use medlarspool_types::{PlanId, ServiceName};

use crate::{
    ConfigError, CustomerEntry, EntryKey, ListFile, ListFiles, Lists, PlanEntry, ServiceEntry,
    documents::{CustomersDocument, PlansDocument},
    limits,
};

/// Checks keys and references between the parsed lists while their lines are known, so that errors can name
/// the line.
pub(crate) fn check_documents(
    files: &ListFiles<'_>,
    customers: &CustomersDocument,
    plans: &PlansDocument,
) -> Result<(), ConfigError> {
    let mut services = SeenValues::new(&files.plans, "service");
    for located in &plans.services {
        services.insert(&located.entry.service, located.line)?;
    }
    let mut plan_ids = SeenValues::new(&files.plans, "plan");
    for located in &plans.plans {
        plan_ids.insert(&located.entry.plan, located.line)?;
        let mut uses = SeenValues::new(&files.plans, "uses");
        for used in &located.entry.uses {
            services.require(&files.plans, "uses", used, located.line)?;
            uses.insert(used, located.line)?;
        }
    }
    let mut customer_ids = SeenValues::new(&files.customers, "customer");
    let mut credentials = SeenValues::new(&files.customers, "credential_sha256");
    for located in &customers.customers {
        customer_ids.insert(&located.entry.customer, located.line)?;
        credentials.insert(&located.entry.credential_sha256, located.line)?;
        plan_ids.require(&files.customers, "plan", &located.entry.plan, located.line)?;
    }
    Ok(())
}

pub(crate) fn check_counts(
    customer_count: usize,
    plan_count: usize,
    service_count: usize,
) -> Result<(), ConfigError> {
    check_limit("customers", customer_count, 0, limits::MAX_CUSTOMERS)?;
    check_limit("plans", plan_count, 0, limits::MAX_PLANS)?;
    check_limit("services", service_count, 0, limits::MAX_SERVICES)
}

/// Checks that no service is listed twice and that the limits of each are in range.
///
/// The services must be sorted by name.
pub(crate) fn check_services(services: &[ServiceEntry]) -> Result<(), ConfigError> {
    for pair in services.windows(2) {
        if pair[0].service == pair[1].service {
            let key = EntryKey::Service(pair[0].service.clone());
            return Err(ConfigError::Duplicate(key));
        }
    }
    for entry in services {
        let timeout_ms = u64::try_from(entry.timeout_ms.as_millis()).unwrap_or(u64::MAX);
        check_limit("timeout_ms", timeout_ms, 1, limits::MAX_TIMEOUT_MS)?;
        let most = limits::MAX_REQUEST_BYTES;
        check_limit("max_request_bytes", entry.max_request_bytes, 0, most)?;
    }
    Ok(())
}

/// Checks that no plan is listed twice, that weights are in range, and that each plan uses only listed
/// services and none twice.
///
/// The plans must be sorted by id; the services, and the `uses` of each plan, by name.
pub(crate) fn check_plans(
    plans: &[PlanEntry],
    services: &[ServiceEntry],
) -> Result<(), ConfigError> {
    for pair in plans.windows(2) {
        if pair[0].plan == pair[1].plan {
            let key = EntryKey::Plan(pair[0].plan.clone());
            return Err(ConfigError::Duplicate(key));
        }
    }
    for entry in plans {
        check_limit("weight", entry.weight, 1, limits::MAX_WEIGHT)?;
        check_uses(services, entry)?;
    }
    Ok(())
}

fn check_uses(services: &[ServiceEntry], entry: &PlanEntry) -> Result<(), ConfigError> {
    for pair in entry.uses.windows(2) {
        if pair[0] == pair[1] {
            return Err(ConfigError::DuplicateUse {
                plan: entry.plan.clone(),
                service: pair[0].clone(),
            });
        }
    }
    let missing = entry
        .uses
        .iter()
        .find(|used| find_service(services, used).is_none());
    missing.map_or(Ok(()), |used| {
        Err(ConfigError::Unknown {
            key: EntryKey::Plan(entry.plan.clone()),
            missing: EntryKey::Service(used.clone()),
        })
    })
}

pub(crate) fn check_duplicates(lists: &Lists) -> Result<(), ConfigError> {
    if let Some([entry, _]) = lists.by_customer.find_duplicate() {
        let key = EntryKey::Customer(entry.customer.clone());
        return Err(ConfigError::Duplicate(key));
    }
    let Some([one, other]) = lists.by_credential.find_duplicate() else {
        return Ok(());
    };
    Err(duplicate_credential(one, other))
}

/// Returns the error about two customers with the same credential, which names them in the order of their
/// ids.
pub(crate) fn duplicate_credential(one: &CustomerEntry, other: &CustomerEntry) -> ConfigError {
    ConfigError::DuplicateCredential {
        first: one.customer.clone().min(other.customer.clone()),
        second: one.customer.clone().max(other.customer.clone()),
    }
}

/// Finds a plan among plans that are sorted by id.
pub(crate) fn find_plan<'plans>(
    plans: &'plans [PlanEntry],
    plan: &PlanId,
) -> Option<&'plans PlanEntry> {
    let found = plans.binary_search_by(|entry| entry.plan.cmp(plan));
    found.ok().map(|index| &plans[index])
}

/// Finds a service among services that are sorted by name.
pub(crate) fn find_service<'services>(
    services: &'services [ServiceEntry],
    service: &ServiceName,
) -> Option<&'services ServiceEntry> {
    let found = services.binary_search_by(|entry| entry.service.cmp(service));
    found.ok().map(|index| &services[index])
}

fn check_limit<T: TryInto<u64>>(
    field: &str,
    value: T,
    least: T,
    most: T,
) -> Result<(), ConfigError> {
    let widen = |number: T| number.try_into().unwrap_or(u64::MAX);
    let (value, least, most) = (widen(value), widen(least), widen(most));
    if (least..=most).contains(&value) {
        return Ok(());
    }
    Err(ConfigError::Limit {
        field: field.into(),
        least,
        most,
        value,
    })
}

/// The values of one field that were read so far, with their lines.
struct SeenValues<'list, T> {
    field: &'static str,
    file: &'list ListFile<'list>,
    lines: HashMap<&'list T, u64>,
}

impl<'list, T: Display + Eq + Hash> SeenValues<'list, T> {
    fn new(file: &'list ListFile<'list>, field: &'static str) -> Self {
        Self {
            field,
            file,
            lines: HashMap::new(),
        }
    }

    /// Adds a value, or returns an error that names the line where it was listed first.
    fn insert(&mut self, value: &'list T, line: u64) -> Result<(), ConfigError> {
        let Some(first) = self.lines.insert(value, line) else {
            return Ok(());
        };
        let reason = format!("`{value}` is listed already in line {first}");
        Err(self.file.field_error(self.field, line, reason))
    }

    /// Returns an error about `field` of `file`, in `line`, if the value that it refers to was not
    /// inserted.
    fn require(
        &self,
        file: &ListFile<'_>,
        field: &str,
        value: &T,
        line: u64,
    ) -> Result<(), ConfigError> {
        if self.lines.contains_key(value) {
            return Ok(());
        }
        let reason = format!(
            "`{value}` is no {} listed in {}",
            self.field, self.file.name
        );
        Err(file.field_error(field, line, reason))
    }
}
