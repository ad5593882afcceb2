use displaydoc::Display;
use medlarspool_types::{CustomerId, PlanId, ServiceName};

/// Identifies one entry of the two lists.
#[derive(Clone, Debug, Display, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum EntryKey {
    /// customer `{0}`
    Customer(CustomerId),
    /// plan `{0}`
    Plan(PlanId),
    /// service `{0}`
    Service(ServiceName),
}
