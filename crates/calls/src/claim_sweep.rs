use std::time::{Duration, Instant, SystemTime};

use fastrand::Rng;

use crate::{CallSettings, ClaimKey};

/// Schedules the sweeps of old claim rows and decides which rows may be deleted.
///
/// Rows are ordered by the times of their idempotency keys, so one read of the first rows finds the
/// oldest. All daemons together sweep at one fixed rate, so the cost does not grow with the fleet and
/// no leader has to be elected.
#[derive(Clone, Debug)]
pub struct ClaimSweep {
    next_sweep: Instant,
}

impl ClaimSweep {
    /// The prefix under which the rows are read.
    pub const PREFIX: &str = ClaimKey::PREFIX;

    /// Schedules the first sweep; see [`ClaimSweep::schedule_next`].
    #[must_use]
    pub fn new(now: Instant, settings: &CallSettings, daemon_count: u32, random: &mut Rng) -> Self {
        let mut sweep = Self { next_sweep: now };
        sweep.schedule_next(now, settings, daemon_count, random);
        sweep
    }

    /// Returns when to read the first [`CallSettings::claim_sweep_rows`] rows.
    #[must_use]
    pub const fn next_wakeup(&self) -> Instant {
        self.next_sweep
    }

    /// Schedules the next sweep after 0.5 to 1.5 times the mean interval of one daemon, drawn at
    /// random. That interval is [`CallSettings::claim_sweep_interval`] times the number of daemons.
    pub fn schedule_next(
        &mut self,
        now: Instant,
        settings: &CallSettings,
        daemon_count: u32,
        random: &mut Rng,
    ) {
        let mean_interval: Duration = settings.claim_sweep_interval * daemon_count.max(1);
        self.next_sweep = now + mean_interval.mul_f64(0.5 + random.f64());
    }

    /// Returns whether a row may be deleted because every gate already refuses its key, provided that
    /// clocks differ by no more than [`CallSettings::clock_skew_limit`].
    #[must_use]
    pub fn may_delete(key: &str, now: SystemTime, settings: &CallSettings) -> bool {
        ClaimKey::hour_end(key)
            .is_some_and(|end| end + settings.claim_lifetime + settings.clock_skew_limit <= now)
    }
}
