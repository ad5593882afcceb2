use std::time::Instant;

use crate::CallSettings;

/// The most doublings of the duration of an ejection.
const MAX_DOUBLINGS: u32 = 16;

/// Excludes an upstream from the choice after failures that the entry saw itself.
///
/// When an ejection ends, the upstream is on trial and gets one call at a time. A failed trial ejects
/// it for twice as long. An answered one readmits it, but its next ejection would also last twice as
/// long; each further answer undoes one doubling.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ejection {
    doublings: u32,
    /// The end of the latest ejection. It remains set during the trial that follows, until an answer.
    ejected_until: Option<Instant>,
    failure_count: u32,
}

impl Ejection {
    /// Returns whether the upstream must not get a call now.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns whether the upstream is on trial and may get one call at a time.
    #[must_use]
    pub fn is_on_trial(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now >= until)
    }

    /// Records an answer. It ends an ejection or a trial at once, and otherwise undoes one doubling.
    pub fn record_success(&mut self) {
        self.failure_count = 0;
        if self.ejected_until.take().is_none() {
            self.doublings = self.doublings.saturating_sub(1);
        }
    }

    /// Records a failure; `may_eject` says whether the limit on ejected upstreams allows one more.
    pub fn record_failure(&mut self, now: Instant, settings: &CallSettings, may_eject: bool) {
        self.failure_count = self.failure_count.saturating_add(1);
        if self.is_ejected(now) || !may_eject {
            return;
        }
        if !self.is_on_trial(now) && self.failure_count < settings.ejection_threshold {
            return;
        }
        let duration = settings.base_ejection * (1 << self.doublings);
        self.ejected_until = Some(now + duration.min(settings.max_ejection));
        self.doublings = (self.doublings + 1).min(MAX_DOUBLINGS);
    }
}
