use medlarspool_types::{CustomerId, PlanId};
use serde::{Deserialize, Serialize};

use crate::CredentialHash;

/// One customer: the credential of its callers and its plan.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerEntry {
    /// The hash of the credential that the customer's callers send.
    pub credential_sha256: CredentialHash,
    /// The customer's id, unique in the list.
    pub customer: CustomerId,
    /// The id of the customer's plan, which must be listed.
    pub plan: PlanId,
}
