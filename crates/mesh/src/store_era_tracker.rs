use std::time::Instant;

use crate::StoreEra;

/// The era of the store, as far as its answers and other daemons' reports tell, and which answers are outdated by it.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreEraTracker {
    /// None before the first answer that has an era.
    era: Option<StoreEra>,
    raised_at: Option<Instant>,
}

impl StoreEraTracker {
    /// Returns the latest era that is known.
    #[must_use]
    pub const fn era(&self) -> Option<StoreEra> {
        self.era
    }

    /// Records an era that the store or another daemon named; returns the earlier one if it rose. The first era that
    /// becomes known is not a rise.
    pub fn learn(&mut self, now: Instant, named: StoreEra) -> Option<StoreEra> {
        match self.era {
            None => {
                self.era = Some(named);
                None
            }
            Some(known) if known < named => {
                self.era = Some(named);
                self.raised_at = Some(now);
                Some(known)
            }
            Some(_) => None,
        }
    }

    /// Returns whether an answer is of an earlier era: its call was sent before the era rose, and it doesn't name the
    /// present one. `named` is the era that the answer names, if it can be read.
    ///
    /// An answer to a later call can't be, whatever it names.
    #[must_use]
    pub fn is_outdated(&self, sent_at: Instant, named: Option<StoreEra>) -> bool {
        named < self.era && self.raised_at.is_some_and(|at| sent_at < at)
    }

    /// Returns whether an answer that isn't outdated names an earlier era than the known one.
    #[must_use]
    pub fn has_fallen(&self, named: Option<StoreEra>) -> bool {
        named.is_some() && named < self.era
    }
}
