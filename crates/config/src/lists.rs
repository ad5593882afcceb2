use medlarspool_types::{ConfigDigest, ConfigVersion, CustomerId, PlanId, ServiceName};
use prost::Message;

use crate::{
    ConfigError, CustomerEntry, EntryKey, ListFile, ListFiles, PlanEntry, ServiceEntry, check,
    documents::{self, CustomersOutput, PlansOutput},
    limits, lists_codec,
    wire::ListsMessage,
};

/// The two lists, checked and in canonical order, so that equal lists have equal digests.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Lists {
    customers: Vec<CustomerEntry>,
    plans: Vec<PlanEntry>,
    services: Vec<ServiceEntry>,
}

impl Lists {
    /// Sorts and checks entries.
    ///
    /// # Errors
    ///
    /// Names the first entry that is doubled, out of bounds or refers to one that is not listed.
    pub fn new(
        mut customers: Vec<CustomerEntry>,
        mut plans: Vec<PlanEntry>,
        mut services: Vec<ServiceEntry>,
    ) -> Result<Self, ConfigError> {
        customers.sort_by(|a, b| a.customer.cmp(&b.customer));
        for plan in &mut plans {
            plan.uses.sort();
        }
        plans.sort_by(|a, b| a.plan.cmp(&b.plan));
        services.sort_by(|a, b| a.service.cmp(&b.service));
        let lists = Self {
            customers,
            plans,
            services,
        };
        check::check(&lists)?;
        Ok(lists)
    }

    /// Reads the two lists as operators write them.
    ///
    /// # Errors
    ///
    /// Names the list, the line, the field and the value of the first fault.
    pub fn parse(customers_yaml: &str, plans_yaml: &str) -> Result<Self, ConfigError> {
        let files = ListFiles {
            customers: ListFile {
                name: "customers.yaml",
                yaml: customers_yaml,
            },
            plans: ListFile {
                name: "plans.yaml",
                yaml: plans_yaml,
            },
        };
        files.parse().map(|parsed| parsed.lists)
    }

    /// Returns the customers in the order of their ids.
    #[must_use]
    pub fn customers(&self) -> &[CustomerEntry] {
        &self.customers
    }

    /// Returns the plans in the order of their ids.
    #[must_use]
    pub fn plans(&self) -> &[PlanEntry] {
        &self.plans
    }

    /// Returns the services in the order of their names.
    #[must_use]
    pub fn services(&self) -> &[ServiceEntry] {
        &self.services
    }

    /// Returns a customer's entry.
    #[must_use]
    pub fn customer(&self, customer: &CustomerId) -> Option<&CustomerEntry> {
        let found = self
            .customers
            .binary_search_by(|e| e.customer.cmp(customer));
        found.ok().map(|at| &self.customers[at])
    }

    /// Returns a plan's entry.
    #[must_use]
    pub fn plan(&self, plan: &PlanId) -> Option<&PlanEntry> {
        let found = self.plans.binary_search_by(|e| e.plan.cmp(plan));
        found.ok().map(|at| &self.plans[at])
    }

    /// Returns a service's entry.
    #[must_use]
    pub fn service(&self, service: &ServiceName) -> Option<&ServiceEntry> {
        let found = self.services.binary_search_by(|e| e.service.cmp(service));
        found.ok().map(|at| &self.services[at])
    }

    /// Returns whether two lists hold the same under a key.
    #[must_use]
    pub fn same_entry(&self, other: &Self, key: &EntryKey) -> bool {
        match key {
            EntryKey::Customer(customer) => self.customer(customer) == other.customer(customer),
            EntryKey::Plan(plan) => self.plan(plan) == other.plan(plan),
            EntryKey::Service(service) => self.service(service) == other.service(service),
        }
    }

    /// Writes the customers' list as YAML.
    #[must_use]
    pub fn customers_yaml(&self) -> String {
        self.customers_yaml_based_on(None)
    }

    /// Writes the customers' list as YAML that names the version it is a copy of.
    #[must_use]
    pub fn customers_yaml_based_on(&self, base_version: Option<ConfigVersion>) -> String {
        documents::write(&CustomersOutput {
            base_version,
            customers: self.customers.iter().collect(),
        })
    }

    /// Writes the plans' list as YAML.
    #[must_use]
    pub fn plans_yaml(&self) -> String {
        self.plans_yaml_based_on(None)
    }

    /// Writes the plans' list as YAML that names the version it is a copy of.
    #[must_use]
    pub fn plans_yaml_based_on(&self, base_version: Option<ConfigVersion>) -> String {
        documents::write(&PlansOutput {
            base_version,
            plans: self.plans.iter().collect(),
            services: self.services.iter().collect(),
        })
    }

    /// Returns the canonical encoding.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        lists_codec::message(&self.customers, &self.plans, &self.services).encode_to_vec()
    }

    /// Reads a canonical encoding and checks it as if it were new.
    ///
    /// # Errors
    ///
    /// Fails if it is too large, damaged or not fit to be accepted.
    pub fn decode(encoded: &[u8]) -> Result<Self, ConfigError> {
        if encoded.len() > limits::MAX_ENCODED_BYTES {
            return Err(ConfigError::Limit {
                field: "lists, bytes".into(),
                least: 0,
                most: limits::MAX_ENCODED_BYTES as u64,
                value: encoded.len() as u64,
            });
        }
        let message = ListsMessage::decode(encoded).map_err(lists_codec::damaged)?;
        let entries = lists_codec::entries(message)?;
        Self::new(entries.customers, entries.plans, entries.services)
    }

    /// Returns the digest of the lists.
    #[must_use]
    pub fn digest(&self) -> ConfigDigest {
        ConfigDigest::of(&self.encode())
    }
}
