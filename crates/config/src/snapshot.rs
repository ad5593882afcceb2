use std::sync::Arc;

use medlarspool_types::{ConfigHead, CustomerId, ServiceName};

use crate::{ConfigError, CredentialHash, CustomerEntry, Lists, Route, RouteDecision};

/// One immutable version of the lists, checked against its digest, by which requests are routed.
#[derive(Clone, Debug)]
pub struct Snapshot {
    head: ConfigHead,
    lists: Arc<Lists>,
}

impl Snapshot {
    /// Builds the snapshot of the version that `head` names.
    ///
    /// # Errors
    ///
    /// Fails if the lists don't have the digest of the version.
    pub fn build(head: ConfigHead, lists: Arc<Lists>) -> Result<Self, ConfigError> {
        let found = lists.cached_digest();
        if found != head.digest {
            return Err(ConfigError::Digest { found, head });
        }
        Ok(Self { head, lists })
    }

    /// Returns the version of the lists and their digest.
    #[must_use]
    pub fn head(&self) -> ConfigHead {
        self.head
    }

    /// Returns the lists.
    #[must_use]
    pub fn lists(&self) -> &Arc<Lists> {
        &self.lists
    }

    /// Returns the customer that a caller's credential belongs to, or `None` if no customer has it.
    #[must_use]
    pub fn authenticate(&self, credential: &str) -> Option<&CustomerEntry> {
        self.lists
            .customer_by_credential(&CredentialHash::of(credential))
    }

    /// Decides whether a customer may use a service.
    #[must_use]
    pub fn route(&self, customer: &CustomerId, service: &ServiceName) -> RouteDecision<'_> {
        let Some(customer) = self.lists.customer(customer) else {
            return RouteDecision::UnknownCustomer;
        };
        let Some(service) = self.lists.service(service) else {
            return RouteDecision::UnknownService;
        };
        match self.lists.plan(&customer.plan) {
            Some(plan) if plan.uses.binary_search(&service.service).is_ok() => {
                RouteDecision::Allowed(Route {
                    service,
                    weight: plan.weight,
                })
            }
            _ => RouteDecision::NotInPlan,
        }
    }
}
