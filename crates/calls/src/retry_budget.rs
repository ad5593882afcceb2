use crate::CallSettings;

/// One retry in the unit of the budget, which is a thousandth of a retry.
const RETRY_COST: u32 = 1_000;

/// Limits the retries from one entry to one service to a share of the calls at the first entry.
///
/// Each request carries a fraction of one retry, in thousandths, which the first entry sets. Each entry
/// adds to its own budget what there is room for and passes the rest on to the next hop. So the budgets
/// of all hops of a chain together gain no more than this one fraction for each call, and the fraction
/// reaches the hop that retries, because the budgets of the others are full.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    capacity: u32,
    tokens: u32,
}

impl RetryBudget {
    /// Starts with a full budget, so that an entry with few calls may retry too.
    #[must_use]
    pub fn new(settings: &CallSettings) -> Self {
        let capacity = settings.retry_burst.saturating_mul(RETRY_COST);
        Self {
            capacity,
            tokens: capacity,
        }
    }

    /// Adds the fraction of a retry that a call carries, in thousandths, as far as the budget has
    /// room for it. Returns the rest, which the call carries on to the next hop. Only the first
    /// attempt of a call deposits.
    ///
    /// At the first entry the fraction is [`CallSettings::retry_per_mille`], at later ones
    /// [`crate::RequestContext::retry_per_mille`].
    #[must_use]
    pub fn deposit(&mut self, share_per_mille: u32) -> u32 {
        let taken = share_per_mille.min(self.capacity - self.tokens);
        self.tokens += taken;
        share_per_mille - taken
    }

    /// Withdraws one whole retry; returns false and withdraws nothing if the budget holds less. The
    /// retry itself carries a fraction of 0, so that later hops gain nothing from it.
    pub fn try_withdraw(&mut self) -> bool {
        let enough = self.tokens >= RETRY_COST;
        if enough {
            self.tokens -= RETRY_COST;
        }
        enough
    }
}
