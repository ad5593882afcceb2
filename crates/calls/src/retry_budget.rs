use crate::CallSettings;

/// One retry in the unit of the budget, which is a thousandth of a retry.
const RETRY_COST: u32 = 1_000;

/// Limits the retries from one entry to one service to a share of the calls at the first entry.
///
/// Each request carries a share of a retry. An entry whose budget is full takes nothing of it and
/// passes it on. So in a chain of calls the share reaches the hop that fails, and the retries of all
/// hops together stay within this one share.
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

    /// Deposits a call's share at its first attempt, and returns what is left of it for the hops below.
    ///
    /// At the first entry the share is [`CallSettings::retry_per_mille`], at later ones
    /// [`crate::RequestContext::retry_per_mille`].
    #[must_use]
    pub fn deposit(&mut self, share_per_mille: u32) -> u32 {
        let taken = share_per_mille.min(self.capacity - self.tokens);
        self.tokens += taken;
        share_per_mille - taken
    }

    /// Withdraws one retry; returns whether the budget held one. The retry itself carries a share of 0.
    pub fn try_withdraw(&mut self) -> bool {
        let enough = self.tokens >= RETRY_COST;
        if enough {
            self.tokens -= RETRY_COST;
        }
        enough
    }
}
