use std::time::Instant;

use crate::CallSettings;

/// The most doublings of the time that an upstream stays ejected.
const MAX_DOUBLINGS: u32 = 16;

/// Takes an upstream out of the choice on evidence of one's own.
///
/// After its time it is given one call at a time on trial. A failed trial ejects it for twice as
/// long; an answered one brings it back, but the next ejection still remembers.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ejection {
    doublings: u32,
    failures: u32,
    until: Option<Instant>,
}

impl Ejection {
    /// Returns whether no call may be given now.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns whether one call at a time may be given.
    #[must_use]
    pub fn is_on_trial(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now >= until)
    }

    /// Takes in an answer.
    pub fn record_success(&mut self) {
        self.failures = 0;
        if self.until.take().is_none() {
            self.doublings = self.doublings.saturating_sub(1);
        }
    }

    /// Takes in a failure; `may_eject` says whether the share of ejected upstreams allows one more.
    pub fn record_failure(&mut self, now: Instant, settings: &CallSettings, may_eject: bool) {
        self.failures = self.failures.saturating_add(1);
        if self.is_ejected(now) || !may_eject {
            return;
        }
        if !self.is_on_trial(now) && self.failures < settings.ejection_threshold {
            return;
        }
        let time = settings.base_ejection * (1 << self.doublings);
        self.until = Some(now + time.min(settings.max_ejection));
        self.doublings = (self.doublings + 1).min(MAX_DOUBLINGS);
    }
}
