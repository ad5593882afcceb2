use crate::ServiceEntry;

/// What an allowed request is routed by.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Route<'snapshot> {
    /// The service and its bounds.
    pub service: &'snapshot ServiceEntry,
    /// The customer's share when upstreams are busy.
    pub weight: u32,
}
