use crate::ServiceEntry;

/// The service and the weight of an allowed request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Route<'snapshot> {
    /// The service with the limits of a request to it.
    pub service: &'snapshot ServiceEntry,
    /// The customer's weight on a busy upstream, relative to other customers.
    pub weight: u32,
}
