//! The checks that lists pass before they are accepted and before they are routed by.

use std::{collections::HashMap, fmt::Display, hash::Hash};

use crate::{
    ConfigError, EntryKey, ListFile, ListFiles, Lists, PlanEntry,
    documents::{CustomersDocument, PlansDocument},
    limits,
};

/// Checks the lists as read, so that errors can name the line.
pub(crate) fn check_placed(
    files: &ListFiles<'_>,
    customers: &CustomersDocument,
    plans: &PlansDocument,
) -> Result<(), ConfigError> {
    let mut services = Seen::new(&files.plans, "service");
    for placed in &plans.services {
        services.insert(&placed.entry.service, placed.line)?;
    }
    let mut plan_ids = Seen::new(&files.plans, "plan");
    for placed in &plans.plans {
        plan_ids.insert(&placed.entry.plan, placed.line)?;
        let mut uses = Seen::new(&files.plans, "uses");
        for used in &placed.entry.uses {
            services.require(&files.plans, "uses", used, placed.line)?;
            uses.insert(used, placed.line)?;
        }
    }
    let mut customer_ids = Seen::new(&files.customers, "customer");
    let mut credentials = Seen::new(&files.customers, "credential_sha256");
    for placed in &customers.customers {
        customer_ids.insert(&placed.entry.customer, placed.line)?;
        credentials.insert(&placed.entry.credential_sha256, placed.line)?;
        plan_ids.require(&files.customers, "plan", &placed.entry.plan, placed.line)?;
    }
    Ok(())
}

/// Checks lists whatever they came from.
pub(crate) fn check(lists: &Lists) -> Result<(), ConfigError> {
    check_counts(lists)?;
    check_services(lists)?;
    check_plans(lists)?;
    check_customers(lists)
}

fn check_counts(lists: &Lists) -> Result<(), ConfigError> {
    limit(
        "customers",
        lists.customers().len(),
        0,
        limits::MAX_CUSTOMERS,
    )?;
    limit("plans", lists.plans().len(), 0, limits::MAX_PLANS)?;
    limit("services", lists.services().len(), 0, limits::MAX_SERVICES)
}

fn check_services(lists: &Lists) -> Result<(), ConfigError> {
    for pair in lists.services().windows(2) {
        if pair[0].service == pair[1].service {
            let key = EntryKey::Service(pair[0].service.clone());
            return Err(ConfigError::Duplicate(key));
        }
    }
    for entry in lists.services() {
        let timeout_ms = u64::try_from(entry.timeout_ms.as_millis()).unwrap_or(u64::MAX);
        limit("timeout_ms", timeout_ms, 1, limits::MAX_TIMEOUT_MS)?;
        let most = limits::MAX_REQUEST_BYTES;
        limit("max_request_bytes", entry.max_request_bytes, 0, most)?;
    }
    Ok(())
}

fn check_plans(lists: &Lists) -> Result<(), ConfigError> {
    for pair in lists.plans().windows(2) {
        if pair[0].plan == pair[1].plan {
            let key = EntryKey::Plan(pair[0].plan.clone());
            return Err(ConfigError::Duplicate(key));
        }
    }
    for entry in lists.plans() {
        limit("weight", entry.weight, 1, limits::MAX_WEIGHT)?;
        check_uses(lists, entry)?;
    }
    Ok(())
}

fn check_uses(lists: &Lists, entry: &PlanEntry) -> Result<(), ConfigError> {
    for pair in entry.uses.windows(2) {
        if pair[0] == pair[1] {
            return Err(ConfigError::DuplicateUse {
                plan: entry.plan.clone(),
                service: pair[0].clone(),
            });
        }
    }
    let missing = entry.uses.iter().find(|used| lists.service(used).is_none());
    missing.map_or(Ok(()), |used| {
        Err(ConfigError::Unknown {
            key: EntryKey::Plan(entry.plan.clone()),
            missing: EntryKey::Service(used.clone()),
        })
    })
}

fn check_customers(lists: &Lists) -> Result<(), ConfigError> {
    for pair in lists.customers().windows(2) {
        if pair[0].customer == pair[1].customer {
            let key = EntryKey::Customer(pair[0].customer.clone());
            return Err(ConfigError::Duplicate(key));
        }
    }
    let mut credentials = HashMap::with_capacity(lists.customers().len());
    for entry in lists.customers() {
        if let Some(first) = credentials.insert(entry.credential_sha256, &entry.customer) {
            return Err(ConfigError::DuplicateCredential {
                first: first.clone(),
                second: entry.customer.clone(),
            });
        }
        if lists.plan(&entry.plan).is_none() {
            return Err(ConfigError::Unknown {
                key: EntryKey::Customer(entry.customer.clone()),
                missing: EntryKey::Plan(entry.plan.clone()),
            });
        }
    }
    Ok(())
}

fn limit<T: TryInto<u64>>(field: &str, value: T, least: T, most: T) -> Result<(), ConfigError> {
    let wide = |number: T| number.try_into().unwrap_or(u64::MAX);
    let (value, least, most) = (wide(value), wide(least), wide(most));
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

/// The values of one field that were met so far, with their lines.
struct Seen<'list, T> {
    field: &'static str,
    file: &'list ListFile<'list>,
    lines: HashMap<&'list T, u64>,
}

impl<'list, T: Display + Eq + Hash> Seen<'list, T> {
    fn new(file: &'list ListFile<'list>, field: &'static str) -> Self {
        Self {
            field,
            file,
            lines: HashMap::new(),
        }
    }

    fn insert(&mut self, value: &'list T, line: u64) -> Result<(), ConfigError> {
        let Some(first) = self.lines.insert(value, line) else {
            return Ok(());
        };
        let reason = format!("`{value}` is listed already in line {first}");
        Err(self.file.field_error(self.field, line, reason))
    }

    /// Refuses a field that names a value which was not met.
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
