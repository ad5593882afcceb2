use crate::CallSettings;

/// One retry, in the unit in which calls pay in.
const RETRY: u32 = 1_000;

/// Bounds the retries of one entry to one service by a share of its calls.
///
/// Each call pays in a fraction of a retry, so that a service that fails half its calls gets few
/// more of them, however long it lasts.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    most: u32,
    per_call: u32,
    saved: u32,
}

impl RetryBudget {
    /// Starts with the whole burst saved up, so that a quiet entry may retry too.
    #[must_use]
    pub fn new(settings: &CallSettings) -> Self {
        let most = settings.retry_burst.saturating_mul(RETRY);
        Self {
            most,
            per_call: settings.retry_per_mille,
            saved: most,
        }
    }

    /// Pays in for a call's first try.
    pub fn pay_in(&mut self) {
        self.saved = self.saved.saturating_add(self.per_call).min(self.most);
    }

    /// Takes out one retry; returns whether there was one.
    pub fn take(&mut self) -> bool {
        let enough = self.saved >= RETRY;
        if enough {
            self.saved -= RETRY;
        }
        enough
    }
}
