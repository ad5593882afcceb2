use medlarspool_types::{PlanId, ServiceName};
use serde::{Deserialize, Serialize};

/// One plan: which services its customers may use, and their share when there is not enough.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlanEntry {
    /// The plan.
    pub plan: PlanId,
    /// The services that the plan's customers may use.
    pub uses: Vec<ServiceName>,
    /// The share of a busy upstream that each of the plan's customers gets, against the others'.
    pub weight: u32,
}
