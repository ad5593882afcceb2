//! The YAML form of the two lists, read with each value's line so that errors can name it.

use std::{fmt::Display, str::FromStr, time::Duration};

use medlarspool_types::ConfigVersion;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_saphyr::Spanned;

use crate::{ConfigError, CustomerEntry, PlanEntry, ServiceEntry, limits};

/// The name by which errors call the customers' list.
pub(crate) const CUSTOMERS_LIST: &str = "customers.yaml";
/// The name by which errors call the plans' list.
pub(crate) const PLANS_LIST: &str = "plans.yaml";
/// The most parser events of one list: ten for each customer.
const MAX_EVENTS: usize = 10 * limits::MAX_CUSTOMERS;

/// An entry and where in the list its key stands.
#[derive(Clone, Debug)]
pub(crate) struct Placed<T> {
    pub(crate) entry: T,
    pub(crate) line: u64,
}

/// The customers' list as read.
pub(crate) struct CustomersDocument {
    pub(crate) base_version: Option<ConfigVersion>,
    pub(crate) customers: Vec<Placed<CustomerEntry>>,
}

/// The plans' list as read.
pub(crate) struct PlansDocument {
    pub(crate) base_version: Option<ConfigVersion>,
    pub(crate) plans: Vec<Placed<PlanEntry>>,
    pub(crate) services: Vec<Placed<ServiceEntry>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawCustomers {
    #[serde(default)]
    base_version: Option<u64>,
    customers: Vec<RawCustomer>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawCustomer {
    credential_sha256: Spanned<String>,
    customer: Spanned<String>,
    plan: Spanned<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawPlans {
    #[serde(default)]
    base_version: Option<u64>,
    plans: Vec<RawPlan>,
    services: Vec<RawService>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawPlan {
    plan: Spanned<String>,
    uses: Vec<Spanned<String>>,
    weight: Spanned<u32>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawService {
    max_request_bytes: Spanned<u64>,
    service: Spanned<String>,
    timeout_ms: Spanned<u64>,
}

#[derive(Serialize)]
pub(crate) struct CustomersOutput<'lists> {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) base_version: Option<ConfigVersion>,
    pub(crate) customers: Vec<&'lists CustomerEntry>,
}

#[derive(Serialize)]
pub(crate) struct PlansOutput<'lists> {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) base_version: Option<ConfigVersion>,
    pub(crate) services: Vec<&'lists ServiceEntry>,
    pub(crate) plans: Vec<&'lists PlanEntry>,
}

pub(crate) fn read_customers(yaml: &str) -> Result<CustomersDocument, ConfigError> {
    let raw: RawCustomers = read(CUSTOMERS_LIST, yaml)?;
    let customers = raw.customers.iter().map(customer);
    Ok(CustomersDocument {
        base_version: raw.base_version.map(ConfigVersion),
        customers: customers.collect::<Result<_, _>>()?,
    })
}

pub(crate) fn read_plans(yaml: &str) -> Result<PlansDocument, ConfigError> {
    let raw: RawPlans = read(PLANS_LIST, yaml)?;
    let plans = raw.plans.iter().map(plan);
    let services = raw.services.iter().map(service);
    Ok(PlansDocument {
        base_version: raw.base_version.map(ConfigVersion),
        plans: plans.collect::<Result<_, _>>()?,
        services: services.collect::<Result<_, _>>()?,
    })
}

pub(crate) fn write<T: Serialize>(output: &T) -> String {
    serde_saphyr::to_string(output).unwrap_or_default()
}

fn read<T: DeserializeOwned>(list: &str, yaml: &str) -> Result<T, ConfigError> {
    if yaml.len() > limits::MAX_YAML_BYTES {
        return Err(ConfigError::Limit {
            field: format!("{list}, bytes"),
            least: 0,
            most: limits::MAX_YAML_BYTES as u64,
            value: yaml.len() as u64,
        });
    }
    let options = serde_saphyr::options! {
        budget: serde_saphyr::budget! {
            max_events: MAX_EVENTS,
            max_nodes: MAX_EVENTS,
        },
        with_snippet: false,
    };
    serde_saphyr::from_str_with_options(yaml, options).map_err(|error| ConfigError::Yaml {
        line: error.location().map_or(0, |location| location.line()),
        list: list.into(),
        reason: error.to_string(),
    })
}

fn customer(raw: &RawCustomer) -> Result<Placed<CustomerEntry>, ConfigError> {
    Ok(Placed {
        entry: CustomerEntry {
            credential_sha256: id(CUSTOMERS_LIST, "credential_sha256", &raw.credential_sha256)?,
            customer: id(CUSTOMERS_LIST, "customer", &raw.customer)?,
            plan: id(CUSTOMERS_LIST, "plan", &raw.plan)?,
        },
        line: raw.customer.referenced.line(),
    })
}

fn plan(raw: &RawPlan) -> Result<Placed<PlanEntry>, ConfigError> {
    let uses = raw.uses.iter().map(|used| id(PLANS_LIST, "uses", used));
    let weight = bounded("weight", &raw.weight, 1, limits::MAX_WEIGHT)?;
    Ok(Placed {
        entry: PlanEntry {
            plan: id(PLANS_LIST, "plan", &raw.plan)?,
            uses: uses.collect::<Result<_, _>>()?,
            weight,
        },
        line: raw.plan.referenced.line(),
    })
}

fn service(raw: &RawService) -> Result<Placed<ServiceEntry>, ConfigError> {
    let most = limits::MAX_REQUEST_BYTES;
    let max_request_bytes = bounded("max_request_bytes", &raw.max_request_bytes, 0, most)?;
    let timeout_ms = bounded("timeout_ms", &raw.timeout_ms, 1, limits::MAX_TIMEOUT_MS)?;
    Ok(Placed {
        entry: ServiceEntry {
            max_request_bytes,
            service: id(PLANS_LIST, "service", &raw.service)?,
            timeout_ms: Duration::from_millis(timeout_ms),
        },
        line: raw.service.referenced.line(),
    })
}

fn id<T>(list: &str, field: &str, text: &Spanned<String>) -> Result<T, ConfigError>
where
    T: FromStr,
    T::Err: Display,
{
    text.value.parse().map_err(|error: T::Err| {
        let reason = error.to_string();
        field_error(list, field, text.referenced.line(), reason)
    })
}

fn bounded<T>(field: &str, value: &Spanned<T>, least: T, most: T) -> Result<T, ConfigError>
where
    T: Copy + Display + PartialOrd,
{
    if (least..=most).contains(&value.value) {
        return Ok(value.value);
    }
    let reason = format!("`{}` is not from {least} to {most}", value.value);
    let line = value.referenced.line();
    Err(field_error(PLANS_LIST, field, line, reason))
}

pub(crate) fn field_error(list: &str, field: &str, line: u64, reason: String) -> ConfigError {
    ConfigError::Field {
        field: field.into(),
        line,
        list: list.into(),
        reason,
    }
}
