use crate::CallSettings;

/// One retry, in the unit in which calls pay in.
const RETRY: u32 = 1_000;

/// Bounds the retries of one entry to one service by a share of the calls at the first entry.
///
/// Each request brings a share with it. An entry whose retries are all saved up takes none and
/// passes it on, so that in a chain of calls it reaches the hop that fails, and the retries of all
/// hops together stay within the one share.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    most: u32,
    saved: u32,
}

impl RetryBudget {
    /// Starts with the whole burst saved up, so that a quiet entry may retry too.
    #[must_use]
    pub fn new(settings: &CallSettings) -> Self {
        let most = settings.retry_burst.saturating_mul(RETRY);
        Self { most, saved: most }
    }

    /// Pays in for a call's first try, and returns what is left of the share for the hops below.
    ///
    /// At the first entry the share is [`CallSettings::retry_per_mille`], at later ones
    /// [`crate::RequestContext::retry_per_mille`].
    #[must_use]
    pub fn deposit(&mut self, share_per_mille: u32) -> u32 {
        let taken = share_per_mille.min(self.most - self.saved);
        self.saved += taken;
        share_per_mille - taken
    }

    /// Takes out one retry; returns whether there was one. The retry itself brings no share.
    pub fn try_withdraw(&mut self) -> bool {
        let enough = self.saved >= RETRY;
        if enough {
            self.saved -= RETRY;
        }
        enough
    }
}
