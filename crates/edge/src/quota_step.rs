use std::time::Duration;

use medlarspool_mesh::QuotaCredit;

/// What happens next to a request that needs a credit.
#[derive(Clone, Copy, Debug)]
pub(crate) enum QuotaStep {
    /// It goes on; without a credit if the account has no limit any more.
    Admitted(Option<QuotaCredit>),
    /// It is refused; there may be a credit after this time.
    Refused(Duration),
    /// It waits for the answer of a holder.
    Waits,
}
