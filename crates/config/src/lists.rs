use std::sync::{Arc, OnceLock};

use medlarspool_types::{ConfigDigest, ConfigVersion, CustomerId, PlanId, ServiceName};
use prost::Message;

use crate::{
    ConfigError, CredentialHash, CustomerEntry, Customers, EntryKey, ListFile, ListFiles,
    PlanEntry, ServiceEntry, check,
    customer_pages::CustomerPages,
    documents::{self, CustomersOutput, PlansOutput},
    limits, lists_codec,
    page_group::{FAN_OUT, digest_of},
    page_key::{KeyField, PageKey},
    wire::ListsMessage,
};

/// The two lists after their checks; versions share unchanged parts in memory.
///
/// The customers are divided by the hash of their ids into 1,024 pages, each with its digest, so that a
/// change of a few entries copies and digests only a few pages. A second set of pages by credential finds
/// a caller's customer. See `docs/design/snapshot.md`.
#[derive(Clone, Debug)]
pub struct Lists {
    pub(crate) by_credential: CustomerPages,
    pub(crate) by_customer: CustomerPages,
    digest: OnceLock<ConfigDigest>,
    pub(crate) plans: Arc<Vec<PlanEntry>>,
    pub(crate) services: Arc<Vec<ServiceEntry>>,
}

impl Lists {
    /// The number of pages that the customers are divided into by the hash of their ids.
    pub const PAGES: usize = FAN_OUT * FAN_OUT;

    /// Builds lists of entries in any order.
    ///
    /// # Errors
    ///
    /// Fails if an entry is a duplicate, exceeds a limit or refers to an entry that is not listed.
    pub fn new(
        customers: Vec<CustomerEntry>,
        mut plans: Vec<PlanEntry>,
        mut services: Vec<ServiceEntry>,
    ) -> Result<Self, ConfigError> {
        for plan in &mut plans {
            plan.uses.sort();
        }
        plans.sort_by(|a, b| a.plan.cmp(&b.plan));
        services.sort_by(|a, b| a.service.cmp(&b.service));
        check::check_counts(customers.len(), plans.len(), services.len())?;
        check::check_services(&services)?;
        check::check_plans(&plans, &services)?;
        let linked = customers
            .into_iter()
            .map(|entry| share_plan_id(entry, &plans));
        let customers: Vec<_> = linked.collect::<Result<_, _>>()?;
        let lists = Self::from_parts(
            CustomerPages::new(KeyField::Customer, &customers),
            CustomerPages::new(KeyField::Credential, &customers),
            Arc::new(plans),
            Arc::new(services),
        );
        check::check_duplicates(&lists)?;
        Ok(lists)
    }

    /// Assembles lists from parts that the caller checks.
    pub(crate) fn from_parts(
        by_customer: CustomerPages,
        by_credential: CustomerPages,
        plans: Arc<Vec<PlanEntry>>,
        services: Arc<Vec<ServiceEntry>>,
    ) -> Self {
        Self {
            by_credential,
            by_customer,
            digest: OnceLock::new(),
            plans,
            services,
        }
    }

    /// Parses the YAML texts of the two lists; errors call them `customers.yaml` and `plans.yaml`.
    ///
    /// # Errors
    ///
    /// Returns the first fault that was found; an error about a field gives the list, the line, the
    /// field and its value.
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

    /// Returns the customers, in an order that depends only on their ids.
    #[must_use]
    pub fn customers(&self) -> Customers<'_> {
        self.by_customer.iter()
    }

    /// Returns the customers in the order of their ids.
    #[must_use]
    pub fn customers_by_id(&self) -> Vec<&CustomerEntry> {
        let mut customers: Vec<_> = self.customers().collect();
        customers.sort_unstable_by(|one, other| one.customer.cmp(&other.customer));
        customers
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

    /// Returns a customer's entry, or `None` if the customer is not listed.
    #[must_use]
    pub fn customer(&self, customer: &CustomerId) -> Option<&CustomerEntry> {
        self.by_customer.find(PageKey::Customer(customer))
    }

    /// Returns the entry of the customer that a credential belongs to, or `None` if no customer has
    /// it.
    #[must_use]
    pub fn customer_by_credential(&self, credential: &CredentialHash) -> Option<&CustomerEntry> {
        self.by_credential.find(PageKey::Credential(credential))
    }

    /// Returns a plan's entry, or `None` if the plan is not listed.
    #[must_use]
    pub fn plan(&self, plan: &PlanId) -> Option<&PlanEntry> {
        check::find_plan(&self.plans, plan)
    }

    /// Returns a service's entry, or `None` if the service is not listed.
    #[must_use]
    pub fn service(&self, service: &ServiceName) -> Option<&ServiceEntry> {
        check::find_service(&self.services, service)
    }

    /// Returns whether both lists have the same entry, or none, under a key.
    #[must_use]
    pub fn same_entry(&self, other: &Self, key: &EntryKey) -> bool {
        match key {
            EntryKey::Customer(customer) => self.customer(customer) == other.customer(customer),
            EntryKey::Plan(plan) => self.plan(plan) == other.plan(plan),
            EntryKey::Service(service) => self.service(service) == other.service(service),
        }
    }

    /// Returns the customers' list as YAML, without a base version.
    #[must_use]
    pub fn customers_yaml(&self) -> String {
        self.customers_yaml_based_on(None)
    }

    /// Returns the customers' list as YAML; names `base_version`, if given, as the version that the list was
    /// copied from.
    #[must_use]
    pub fn customers_yaml_based_on(&self, base_version: Option<ConfigVersion>) -> String {
        documents::to_yaml(&CustomersOutput {
            base_version,
            customers: self.customers_by_id(),
        })
    }

    /// Returns the plans' list as YAML, without a base version.
    #[must_use]
    pub fn plans_yaml(&self) -> String {
        self.plans_yaml_based_on(None)
    }

    /// Returns the plans' list as YAML; names `base_version`, if given, as the version that the list was
    /// copied from.
    #[must_use]
    pub fn plans_yaml_based_on(&self, base_version: Option<ConfigVersion>) -> String {
        documents::to_yaml(&PlansOutput {
            base_version,
            plans: self.plans.iter().collect(),
            services: self.services.iter().collect(),
        })
    }

    /// Returns the canonical encoding, which is the same for equal lists.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        lists_codec::lists_message(self.customers(), &*self.plans, &*self.services).encode_to_vec()
    }

    /// Decodes an encoding and checks the lists as if they were new.
    ///
    /// # Errors
    ///
    /// Fails if the encoding is too large or damaged, or if the lists fail their checks.
    pub fn decode(encoded: &[u8]) -> Result<Self, ConfigError> {
        limits::check_encoded_size("lists, bytes", encoded, limits::MAX_ENCODED_BYTES)?;
        let message = ListsMessage::decode(encoded).map_err(lists_codec::decode_error)?;
        let entries = lists_codec::decode_entries(message)?;
        Self::new(entries.customers, entries.plans, entries.services)
    }

    /// Recomputes the digest from every entry, which detects damaged lists; the time is linear in their size.
    #[must_use]
    pub fn digest(&self) -> ConfigDigest {
        digest_of([self.by_customer.recomputed_digest(), self.plans_digest()])
    }

    /// Returns the digest from the pages' cached digests; only changed pages are digested again.
    #[must_use]
    pub fn cached_digest(&self) -> ConfigDigest {
        let digest = || digest_of([self.by_customer.cached_digest(), self.plans_digest()]);
        *self.digest.get_or_init(digest)
    }

    /// Returns the number of the customers' pages that two versions share in memory.
    #[must_use]
    pub fn shared_pages(&self, other: &Self) -> usize {
        self.by_customer.shared_pages(&other.by_customer)
    }

    fn plans_digest(&self) -> ConfigDigest {
        let message = lists_codec::lists_message([], &*self.plans, &*self.services);
        ConfigDigest::of(&message.encode_to_vec())
    }
}

impl Default for Lists {
    fn default() -> Self {
        Self::from_parts(
            CustomerPages::new(KeyField::Customer, &[]),
            CustomerPages::new(KeyField::Credential, &[]),
            Arc::default(),
            Arc::default(),
        )
    }
}

impl Eq for Lists {}

impl PartialEq for Lists {
    fn eq(&self, other: &Self) -> bool {
        self.customers().len() == other.customers().len()
            && self.plans == other.plans
            && self.services == other.services
            && self
                .by_customer
                .differing_from(&other.by_customer)
                .next()
                .is_none()
    }
}

/// Replaces a customer's plan id by the one of the listed plan, so that both share its text in memory.
///
/// Fails if the plan is not listed.
pub(crate) fn share_plan_id(
    entry: CustomerEntry,
    plans: &[PlanEntry],
) -> Result<Arc<CustomerEntry>, ConfigError> {
    let Some(plan) = check::find_plan(plans, &entry.plan) else {
        return Err(ConfigError::Unknown {
            key: EntryKey::Customer(entry.customer),
            missing: EntryKey::Plan(entry.plan),
        });
    };
    let plan = plan.plan.clone();
    Ok(Arc::new(CustomerEntry { plan, ..entry }))
}
