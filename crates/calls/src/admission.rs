use medlarspool_config::{CustomerEntry, Route, RouteDecision, Snapshot};
use medlarspool_types::{ConfigVersion, CustomerId, ServiceName};

use crate::AdmissionRefusal;

/// Whether a request may be forwarded, decided by the newest configuration version that either end
/// of the hop holds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission<'snapshot> {
    /// The customer's plan allows the service.
    Admitted {
        /// The customer.
        customer: &'snapshot CustomerId,
        /// The service's limits and the customer's weight.
        route: Route<'snapshot>,
    },
    /// The request was admitted by this version, which is newer than the one of the snapshot: fetch
    /// it, then decide again.
    FetchFirst(ConfigVersion),
    /// The request may not be forwarded, so it did not run and never will.
    Refused(AdmissionRefusal),
}

impl<'snapshot> Admission<'snapshot> {
    /// Decides at the entry, by the credential that the caller sent.
    ///
    /// `admitted_version` is the version by which the call that caused this one was admitted, or
    /// [`ConfigVersion::NONE`].
    #[must_use]
    pub fn at_entry(
        snapshot: &'snapshot Snapshot,
        credential: &str,
        service: &ServiceName,
        admitted_version: ConfigVersion,
    ) -> Self {
        if snapshot.head().version < admitted_version {
            return Self::FetchFirst(admitted_version);
        }
        match snapshot.authenticate(credential) {
            Some(customer) => Self::by_plan(snapshot, customer, service),
            None => Self::Refused(AdmissionRefusal::UnknownCredential),
        }
    }

    /// Decides at the gate on a request that the entry admitted by `admitted_version`.
    ///
    /// A gate that holds an older version fetches that one first; a gate that holds a newer one
    /// decides by its own.
    #[must_use]
    pub fn at_gate(
        snapshot: &'snapshot Snapshot,
        customer: &CustomerId,
        service: &ServiceName,
        admitted_version: ConfigVersion,
    ) -> Self {
        if snapshot.head().version < admitted_version {
            return Self::FetchFirst(admitted_version);
        }
        match snapshot.lists().customer(customer) {
            Some(customer) => Self::by_plan(snapshot, customer, service),
            None => Self::Refused(AdmissionRefusal::UnknownCustomer),
        }
    }

    fn by_plan(
        snapshot: &'snapshot Snapshot,
        customer: &'snapshot CustomerEntry,
        service: &ServiceName,
    ) -> Self {
        let customer = &customer.customer;
        match snapshot.route(customer, service) {
            RouteDecision::Allowed(route) => Self::Admitted { customer, route },
            RouteDecision::NotInPlan => Self::Refused(AdmissionRefusal::NotInPlan),
            RouteDecision::UnknownCustomer => Self::Refused(AdmissionRefusal::UnknownCustomer),
            RouteDecision::UnknownService => Self::Refused(AdmissionRefusal::UnknownService),
        }
    }
}
