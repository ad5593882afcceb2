use crate::Route;

/// Whether a customer may use a service under one version of the lists.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteDecision<'snapshot> {
    /// The customer's plan allows the service.
    Allowed(Route<'snapshot>),
    /// The customer's plan does not include the service.
    NotInPlan,
    /// The customer is not listed.
    UnknownCustomer,
    /// The service is not listed.
    UnknownService,
}
