use std::{collections::HashMap, time::Duration};

use crate::{BootTime, SendStamp};

/// For how long the fastest message of a sender counts, and as long again at most. Within this time queues run empty
/// now and then, and after it a clock that stood still has no further effect.
const PERIOD: Duration = Duration::from_secs(4);

/// How long messages of other daemons were delayed on their way, as far as the senders' clocks prove it.
///
/// A message took at least as much longer than the fastest recent one of its sender as the difference between arrival
/// and stamp has grown. What all messages of the last seconds waited isn't known.
#[derive(Debug, Default)]
pub struct TransitTimes {
    senders: HashMap<u64, FastestMessages>,
}

/// The least differences between arrival and stamp, in microseconds, in the present period and the one before it.
#[derive(Clone, Copy, Debug)]
struct FastestMessages {
    earlier_us: i64,
    period_start: BootTime,
    present_us: i64,
}

impl TransitTimes {
    /// Records that a message arrives now; returns how much longer it took than the fastest recent one of its sender.
    pub fn record(&mut self, now: BootTime, stamp: SendStamp) -> Duration {
        let micros = |time: BootTime| i64::try_from(time.0.as_micros()).unwrap_or(i64::MAX);
        let difference_us = micros(now).saturating_sub(micros(stamp.sent_at));
        let fastest = self.senders.entry(stamp.clock).or_insert(FastestMessages {
            earlier_us: i64::MAX,
            period_start: now,
            present_us: i64::MAX,
        });
        fastest.advance(now);
        fastest.present_us = fastest.present_us.min(difference_us);
        let least_us = fastest.present_us.min(fastest.earlier_us);
        let delay_us = difference_us.saturating_sub(least_us);
        Duration::from_micros(delay_us.try_into().unwrap_or_default())
    }

    /// Forgets senders of which no message has arrived for so long that none counts any more.
    pub fn sweep(&mut self, now: BootTime) {
        self.senders.retain(|_, fastest| {
            fastest.advance(now);
            fastest.earlier_us < i64::MAX || fastest.present_us < i64::MAX
        });
    }

    /// Returns the number of senders that are remembered.
    #[must_use]
    pub fn sender_count(&self) -> usize {
        self.senders.len()
    }
}

impl FastestMessages {
    /// Begins a new period if the present one is over.
    fn advance(&mut self, now: BootTime) {
        let age = now.saturating_since(self.period_start);
        if age < PERIOD {
            return;
        }
        self.earlier_us = if age < 2 * PERIOD {
            self.present_us
        } else {
            i64::MAX
        };
        self.period_start = now;
        self.present_us = i64::MAX;
    }
}
