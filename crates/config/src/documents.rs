//! The YAML form of the two lists; every value is read with its line, so that errors can name it.

use std::{fmt::Display, str::FromStr, time::Duration};

use medlarspool_types::ConfigVersion;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_saphyr::Spanned;

use crate::{ConfigError, CustomerEntry, ListFile, PlanEntry, ServiceEntry, limits};

/// The most parser events and nodes of one list: ten for each customer.
const MAX_EVENTS: usize = 10 * limits::MAX_CUSTOMERS;
/// The longest part of a faulty line that an error quotes, in characters.
const MAX_QUOTED_CHARACTERS: usize = 80;

/// An entry and the line of its key in the list.
#[derive(Clone, Debug)]
pub(crate) struct Located<T> {
    pub(crate) entry: T,
    pub(crate) line: u64,
}

/// The parsed customers' list.
pub(crate) struct CustomersDocument {
    pub(crate) base_version: Option<ConfigVersion>,
    pub(crate) customers: Vec<Located<CustomerEntry>>,
}

/// The parsed plans' list.
pub(crate) struct PlansDocument {
    pub(crate) base_version: Option<ConfigVersion>,
    /// The line of the base version; 0 if the list names none.
    pub(crate) base_version_line: u64,
    pub(crate) plans: Vec<Located<PlanEntry>>,
    pub(crate) services: Vec<Located<ServiceEntry>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawCustomers {
    #[serde(default)]
    base_version: Option<Spanned<String>>,
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
    base_version: Option<Spanned<String>>,
    plans: Vec<RawPlan>,
    services: Vec<RawService>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawPlan {
    plan: Spanned<String>,
    uses: Vec<Spanned<String>>,
    weight: Spanned<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawService {
    max_request_bytes: Spanned<String>,
    service: Spanned<String>,
    timeout_ms: Spanned<String>,
}

/// The customers' list in the form that is written as YAML.
#[derive(Serialize)]
pub(crate) struct CustomersOutput<'lists> {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) base_version: Option<ConfigVersion>,
    pub(crate) customers: Vec<&'lists CustomerEntry>,
}

/// The plans' list in the form that is written as YAML.
#[derive(Serialize)]
pub(crate) struct PlansOutput<'lists> {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) base_version: Option<ConfigVersion>,
    pub(crate) services: Vec<&'lists ServiceEntry>,
    pub(crate) plans: Vec<&'lists PlanEntry>,
}

pub(crate) fn read_customers(file: &ListFile<'_>) -> Result<CustomersDocument, ConfigError> {
    let raw: RawCustomers = file.read()?;
    let customers = raw.customers.iter().map(|raw| file.customer(raw));
    Ok(CustomersDocument {
        base_version: file.base_version(raw.base_version.as_ref())?,
        customers: customers.collect::<Result<_, _>>()?,
    })
}

pub(crate) fn read_plans(file: &ListFile<'_>) -> Result<PlansDocument, ConfigError> {
    let raw: RawPlans = file.read()?;
    let plans = raw.plans.iter().map(|raw| file.plan(raw));
    let services = raw.services.iter().map(|raw| file.service(raw));
    Ok(PlansDocument {
        base_version: file.base_version(raw.base_version.as_ref())?,
        base_version_line: raw.base_version.as_ref().map_or(0, line),
        plans: plans.collect::<Result<_, _>>()?,
        services: services.collect::<Result<_, _>>()?,
    })
}

pub(crate) fn to_yaml<T: Serialize>(output: &T) -> String {
    serde_saphyr::to_string(output).unwrap_or_default()
}

impl ListFile<'_> {
    pub(crate) fn field_error(&self, field: &str, line: u64, reason: String) -> ConfigError {
        ConfigError::Field {
            field: field.into(),
            line,
            list: self.name.into(),
            reason,
        }
    }

    fn read<T: DeserializeOwned>(&self) -> Result<T, ConfigError> {
        if self.yaml.len() > limits::MAX_YAML_BYTES {
            return Err(ConfigError::Limit {
                field: format!("{}, bytes", self.name),
                least: 0,
                most: limits::MAX_YAML_BYTES as u64,
                value: self.yaml.len() as u64,
            });
        }
        let options = serde_saphyr::options! {
            budget: serde_saphyr::budget! {
                max_events: MAX_EVENTS,
                max_nodes: MAX_EVENTS,
            },
            with_snippet: false,
        };
        serde_saphyr::from_str_with_options(self.yaml, options)
            .map_err(|error| self.yaml_error(&error))
    }

    /// Turns the library's error into one that quotes the line, without the position at the end of its text.
    fn yaml_error(&self, error: &serde_saphyr::Error) -> ConfigError {
        let line = error.location().map_or(0, |location| location.line());
        let line_index = usize::try_from(line.saturating_sub(1)).unwrap_or(usize::MAX);
        let text = self.yaml.lines().nth(line_index).unwrap_or("").trim();
        let reason = error.to_string();
        let reason = reason
            .rsplit_once(" at line ")
            .map_or(reason.as_str(), |(r, _)| r);
        ConfigError::Yaml {
            line,
            list: self.name.into(),
            reason: reason.into(),
            text: text.chars().take(MAX_QUOTED_CHARACTERS).collect(),
        }
    }

    fn customer(&self, raw: &RawCustomer) -> Result<Located<CustomerEntry>, ConfigError> {
        Ok(Located {
            entry: CustomerEntry {
                credential_sha256: self.parse_id("credential_sha256", &raw.credential_sha256)?,
                customer: self.parse_id("customer", &raw.customer)?,
                plan: self.parse_id("plan", &raw.plan)?,
            },
            line: line(&raw.customer),
        })
    }

    fn plan(&self, raw: &RawPlan) -> Result<Located<PlanEntry>, ConfigError> {
        let uses = raw.uses.iter().map(|used| self.parse_id("uses", used));
        Ok(Located {
            entry: PlanEntry {
                plan: self.parse_id("plan", &raw.plan)?,
                uses: uses.collect::<Result<_, _>>()?,
                weight: self.parse_number("weight", &raw.weight, 1, limits::MAX_WEIGHT)?,
            },
            line: line(&raw.plan),
        })
    }

    fn service(&self, raw: &RawService) -> Result<Located<ServiceEntry>, ConfigError> {
        let most = limits::MAX_REQUEST_BYTES;
        let max_request_bytes =
            self.parse_number("max_request_bytes", &raw.max_request_bytes, 0, most)?;
        let most = limits::MAX_TIMEOUT_MS;
        let timeout_ms = self.parse_number("timeout_ms", &raw.timeout_ms, 1, most)?;
        Ok(Located {
            entry: ServiceEntry {
                max_request_bytes,
                service: self.parse_id("service", &raw.service)?,
                timeout_ms: Duration::from_millis(timeout_ms),
            },
            line: line(&raw.service),
        })
    }

    fn base_version(
        &self,
        raw: Option<&Spanned<String>>,
    ) -> Result<Option<ConfigVersion>, ConfigError> {
        let number = raw.map(|raw| self.parse_number("base_version", raw, 0, u64::MAX));
        Ok(number.transpose()?.map(ConfigVersion))
    }

    fn parse_id<T>(&self, field: &str, text: &Spanned<String>) -> Result<T, ConfigError>
    where
        T: FromStr,
        T::Err: Display,
    {
        let field_error = |error: T::Err| self.field_error(field, line(text), error.to_string());
        text.value.parse().map_err(field_error)
    }

    fn parse_number<T>(
        &self,
        field: &str,
        text: &Spanned<String>,
        least: T,
        most: T,
    ) -> Result<T, ConfigError>
    where
        T: Copy + Display + FromStr + PartialOrd,
    {
        let number = text.value.parse().ok();
        let number = number.filter(|number| (least..=most).contains(number));
        number.ok_or_else(|| {
            let value = &text.value;
            let reason = format!("`{value}` is not a whole number from {least} to {most}");
            self.field_error(field, line(text), reason)
        })
    }
}

fn line(value: &Spanned<String>) -> u64 {
    value.referenced.line()
}
