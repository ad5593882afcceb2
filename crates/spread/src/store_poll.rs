use std::time::{Duration, Instant};

use fastrand::Rng;

use crate::{SpreadMode, SpreadSettings};

/// The largest factor by which failed reads lengthen the wait for the next one.
const MAX_BACKOFF_FACTOR: u32 = 4;

/// The longest drawn wait in [`SpreadMode::SharedBudget`], as a multiple of the mean interval.
const MAX_JITTER_FACTOR: f64 = 3.0;

/// Schedules this daemon's reads of the store's head.
#[derive(Debug)]
pub(crate) struct StorePoll {
    /// The reads that failed since the last that succeeded.
    failure_count: u32,
    next_read: Instant,
    /// Whether a read is under way.
    reading: bool,
}

impl StorePoll {
    pub(crate) fn new(now: Instant, settings: &SpreadSettings, random: &mut Rng) -> Self {
        Self {
            failure_count: 0,
            next_read: now + settings.join_spread.mul_f64(random.f64()),
            reading: false,
        }
    }

    /// Returns the time of the next read, or `None` while one is under way.
    pub(crate) fn wakeup(&self) -> Option<Instant> {
        (!self.reading).then_some(self.next_read)
    }

    /// Returns whether the last read failed.
    pub(crate) const fn is_failing(&self) -> bool {
        self.failure_count > 0
    }

    /// Starts a read if one is due and returns whether it did.
    pub(crate) fn begin_read(&mut self, now: Instant) -> bool {
        let due = !self.reading && self.next_read <= now;
        self.reading |= due;
        due
    }

    /// Ends a read that succeeded; the next one starts after `wait`.
    pub(crate) fn on_success(&mut self, now: Instant, wait: Duration) {
        self.failure_count = 0;
        self.reading = false;
        self.next_read = now + wait;
    }

    /// Ends a read that failed. The next one starts after twice `wait`; the factor doubles with
    /// each consecutive failure, up to [`MAX_BACKOFF_FACTOR`].
    pub(crate) fn on_failure(&mut self, now: Instant, wait: Duration) {
        self.failure_count = self.failure_count.saturating_add(1);
        let factor = 2_u32
            .saturating_pow(self.failure_count)
            .min(MAX_BACKOFF_FACTOR);
        self.reading = false;
        self.next_read = now + wait * factor;
    }

    /// Draws the wait between two reads.
    ///
    /// Daemons that share a budget draw from an exponential distribution, so that the fleet's rate of reads
    /// is steady from the start; uniformly distributed waits would cause waves of reads after a common start.
    pub(crate) fn draw_wait(mode: SpreadMode, interval: Duration, random: &mut Rng) -> Duration {
        let jitter = match mode {
            SpreadMode::Poll => 0.5 + random.f64(),
            SpreadMode::SharedBudget => (-(1.0 - random.f64()).ln()).min(MAX_JITTER_FACTOR),
        };
        interval.mul_f64(jitter)
    }

    /// Moves the next read to a random time within `interval`, the mean interval, if it is
    /// scheduled after the longest wait that this interval allows. That happens when the fleet has
    /// shrunk.
    pub(crate) fn limit_wait(&mut self, now: Instant, interval: Duration, random: &mut Rng) {
        if self.next_read
            > now + interval.mul_f64(MAX_JITTER_FACTOR * f64::from(MAX_BACKOFF_FACTOR))
        {
            self.next_read = now + interval.mul_f64(random.f64());
        }
    }

    /// Moves the next read to a random time within `max_delay`, unless it is due earlier.
    pub(crate) fn bring_forward(&mut self, now: Instant, max_delay: Duration, random: &mut Rng) {
        self.next_read = self.next_read.min(now + max_delay.mul_f64(random.f64()));
    }

    /// Returns the mean interval between two reads by one daemon.
    ///
    /// A shared budget is divided among the peers and this daemon; without peers the interval is half of
    /// `join_spread`.
    pub(crate) fn mean_interval(settings: &SpreadSettings, peer_count: usize) -> Duration {
        match settings.mode {
            SpreadMode::Poll => settings.poll_interval,
            SpreadMode::SharedBudget if peer_count == 0 => settings.join_spread / 2,
            SpreadMode::SharedBudget => {
                let daemon_count = u32::try_from(peer_count)
                    .unwrap_or(u32::MAX)
                    .saturating_add(1);
                let interval =
                    Duration::from_secs(1) * daemon_count / settings.store_reads_per_second;
                interval.max(settings.min_poll_interval)
            }
        }
    }
}
