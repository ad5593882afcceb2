use std::time::{Duration, Instant, SystemTime};

use fastrand::Rng;

use crate::{CallSettings, ClaimKey};

/// Finds the claim rows to delete, and when to look.
///
/// Rows are kept in the order of their keys' times, so one read of the first rows finds the oldest.
/// The daemons share one fixed rate of sweeps, so its cost does not grow with the fleet and nobody
/// is elected.
#[derive(Clone, Debug)]
pub struct ClaimSweep {
    next: Instant,
}

impl ClaimSweep {
    /// The prefix under which the rows are read.
    pub const PREFIX: &str = ClaimKey::PREFIX;

    /// Starts with a first sweep at a random time.
    #[must_use]
    pub fn new(now: Instant, settings: &CallSettings, daemons: u32, random: &mut Rng) -> Self {
        let mut sweep = Self { next: now };
        sweep.schedule_next(now, settings, daemons, random);
        sweep
    }

    /// Returns when to read the first [`CallSettings::claim_sweep_rows`] rows.
    #[must_use]
    pub const fn next_wakeup(&self) -> Instant {
        self.next
    }

    /// Plans the next sweep, given how many daemons share the rate.
    pub fn schedule_next(
        &mut self,
        now: Instant,
        settings: &CallSettings,
        daemons: u32,
        random: &mut Rng,
    ) {
        let mean: Duration = settings.claim_sweep_interval * daemons.max(1);
        self.next = now + mean.mul_f64(0.5 + random.f64());
    }

    /// Returns whether a row may be deleted: every gate refuses its key, however much their clocks
    /// differ within the limit.
    #[must_use]
    pub fn may_delete(key: &str, now: SystemTime, settings: &CallSettings) -> bool {
        ClaimKey::hour_end(key)
            .is_some_and(|end| end + settings.claim_lifetime + settings.clock_skew_limit <= now)
    }
}
