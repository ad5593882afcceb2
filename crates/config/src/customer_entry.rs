use medlarspool_types::{CustomerId, PlanId};
use serde::{Deserialize, Serialize};

use crate::CredentialHash;

/// One customer: the credential of its callers and its plan.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerEntry {
    /// The hash of the credential that the customer's callers send.
    pub credential_sha256: CredentialHash,
    /// The customer.
    pub customer: CustomerId,
    /// The customer's plan.
    pub plan: PlanId,
}
