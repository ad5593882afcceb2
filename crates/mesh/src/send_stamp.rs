use std::{fmt, time::Duration};

use crate::BootTime;

/// When a message was sent, on the clock of its sender. Clocks of different machines have no common zero.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SendStamp {
    /// The number that the sender drew at its start, which tells its clock from all others. Not 0.
    pub clock: u64,
    /// The time of sending on that clock.
    pub sent_at: BootTime,
}

impl SendStamp {
    /// Reads a stamp from the text that its `Display` writes; returns `None` if it isn't valid.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let (clock, micros) = text.split_once(',')?;
        Self::from_numbers(u64::from_str_radix(clock, 16).ok()?, micros.parse().ok()?)
    }

    /// Returns the stamp of these numbers, the latter in microseconds; `None` if they are those of no stamp.
    #[must_use]
    pub const fn from_numbers(clock: u64, sent_at_us: u64) -> Option<Self> {
        if clock == 0 {
            return None;
        }
        Some(Self {
            clock,
            sent_at: BootTime(Duration::from_micros(sent_at_us)),
        })
    }

    /// Returns the time of sending in microseconds.
    #[must_use]
    pub fn sent_at_us(&self) -> u64 {
        u64::try_from(self.sent_at.0.as_micros()).unwrap_or(u64::MAX)
    }
}

impl fmt::Display for SendStamp {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:x},{}", self.clock, self.sent_at_us())
    }
}
