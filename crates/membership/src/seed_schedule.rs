use std::time::{Duration, Instant};

use crate::repair::jitter;

/// The window over which daemons that start at the same time spread their first read.
const START_WINDOW: Duration = Duration::from_secs(5);

/// The first delay before a daemon that knows no other member reads again.
const MIN_BACKOFF: Duration = Duration::from_secs(1);

/// The maximum delay before a daemon that knows no other member reads again.
const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// The schedule of reads of seed rows.
#[derive(Debug)]
pub(crate) struct SeedSchedule {
    backoff: Duration,
    pub(crate) next_read: Instant,
    /// The number of reads of seed rows since this daemon last knew another living member. A read is counted
    /// when it is requested and the next one is scheduled, before its answer arrives.
    pub(crate) reads_while_alone: u32,
}

impl SeedSchedule {
    pub(crate) fn new(now: Instant, random: &mut fastrand::Rng) -> Self {
        Self {
            backoff: MIN_BACKOFF,
            next_read: now + START_WINDOW.mul_f64(random.f64()),
            reads_while_alone: 0,
        }
    }

    /// Schedules the next read of a daemon that knows no other member; the delay doubles with each such read.
    pub(crate) fn schedule_alone(&mut self, now: Instant, random: &mut fastrand::Rng) {
        self.reads_while_alone += 1;
        self.next_read = now + jitter(self.backoff, random);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// Schedules the next read so that the `readers` of an availability zone together read once per
    /// `interval`.
    pub(crate) fn schedule_shared(
        &mut self,
        now: Instant,
        interval: Duration,
        readers: usize,
        random: &mut fastrand::Rng,
    ) {
        self.backoff = MIN_BACKOFF;
        self.reads_while_alone = 0;
        let readers = u32::try_from(readers.max(1)).unwrap_or(u32::MAX);
        self.next_read = now + jitter(interval * readers, random);
    }
}
