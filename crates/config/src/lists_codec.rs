//! Conversion between entries and their protobuf messages.

use std::{fmt::Display, str::FromStr, time::Duration};

use crate::{
    ConfigError, CredentialHash, CustomerEntry, PlanEntry, ServiceEntry,
    wire::{CustomerMessage, ListsMessage, PlanMessage, ServiceMessage},
};

/// Decoded entries that have not been checked.
pub(crate) struct Entries {
    pub(crate) customers: Vec<CustomerEntry>,
    pub(crate) plans: Vec<PlanEntry>,
    pub(crate) services: Vec<ServiceEntry>,
}

pub(crate) fn lists_message<'entry>(
    customers: impl IntoIterator<Item = &'entry CustomerEntry>,
    plans: impl IntoIterator<Item = &'entry PlanEntry>,
    services: impl IntoIterator<Item = &'entry ServiceEntry>,
) -> ListsMessage {
    ListsMessage {
        customers: customers.into_iter().map(customer_message).collect(),
        plans: plans.into_iter().map(plan_message).collect(),
        services: services.into_iter().map(service_message).collect(),
    }
}

pub(crate) fn decode_entries(message: ListsMessage) -> Result<Entries, ConfigError> {
    let customers = message.customers.into_iter().map(decode_customer);
    let plans = message.plans.iter().map(decode_plan);
    let services = message.services.iter().map(decode_service);
    Ok(Entries {
        customers: customers.collect::<Result<_, _>>()?,
        plans: plans.collect::<Result<_, _>>()?,
        services: services.collect::<Result<_, _>>()?,
    })
}

pub(crate) fn parse_id<T>(text: &str) -> Result<T, ConfigError>
where
    T: FromStr,
    T::Err: Display,
{
    text.parse().map_err(decode_error)
}

pub(crate) fn decode_error(reason: impl Display) -> ConfigError {
    ConfigError::Decode {
        reason: reason.to_string(),
    }
}

fn customer_message(entry: &CustomerEntry) -> CustomerMessage {
    CustomerMessage {
        credential_sha256: entry.credential_sha256.0.to_vec(),
        customer: entry.customer.to_string(),
        plan: entry.plan.to_string(),
    }
}

fn plan_message(entry: &PlanEntry) -> PlanMessage {
    PlanMessage {
        plan: entry.plan.to_string(),
        uses: entry.uses.iter().map(ToString::to_string).collect(),
        weight: entry.weight,
    }
}

fn service_message(entry: &ServiceEntry) -> ServiceMessage {
    ServiceMessage {
        max_request_bytes: entry.max_request_bytes,
        service: entry.service.to_string(),
        timeout_ms: u64::try_from(entry.timeout_ms.as_millis()).unwrap_or(u64::MAX),
    }
}

fn decode_customer(message: CustomerMessage) -> Result<CustomerEntry, ConfigError> {
    let hash: [u8; 32] = message
        .credential_sha256
        .try_into()
        .map_err(|bytes: Vec<u8>| {
            decode_error(format!(
                "the credential hash has {} bytes, not 32",
                bytes.len()
            ))
        })?;
    Ok(CustomerEntry {
        credential_sha256: CredentialHash(hash),
        customer: parse_id(&message.customer)?,
        plan: parse_id(&message.plan)?,
    })
}

fn decode_plan(message: &PlanMessage) -> Result<PlanEntry, ConfigError> {
    let uses = message.uses.iter().map(|used| parse_id(used));
    Ok(PlanEntry {
        plan: parse_id(&message.plan)?,
        uses: uses.collect::<Result<_, _>>()?,
        weight: message.weight,
    })
}

fn decode_service(message: &ServiceMessage) -> Result<ServiceEntry, ConfigError> {
    Ok(ServiceEntry {
        max_request_bytes: message.max_request_bytes,
        service: parse_id(&message.service)?,
        timeout_ms: Duration::from_millis(message.timeout_ms),
    })
}
