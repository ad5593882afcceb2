use medlarspool_types::{PlanId, ServiceName};
use serde::{Deserialize, Serialize};

/// One plan: the services that its customers may use, and their weight on a busy upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlanEntry {
    /// The plan's id, unique in the list.
    pub plan: PlanId,
    /// The services that the plan's customers may use.
    pub uses: Vec<ServiceName>,
    /// The weight of each of the plan's customers on a busy upstream, relative to other customers.
    pub weight: u32,
}
