use std::io::{Read, Write};

use medlarspool_types::Clock;

/// The command's clock, input and output, which tests replace.
pub struct Console<'process> {
    /// The clock that dates the operator's changes.
    pub clock: &'process dyn Clock,
    /// Standard input, from which `credential` reads.
    pub input: &'process mut dyn Read,
    /// Standard output.
    pub output: &'process mut dyn Write,
}

impl Console<'_> {
    /// Returns the time in milliseconds since the Unix epoch, or 0 if the clock is before it.
    pub(crate) fn now_ms(&self) -> u64 {
        let since = self
            .clock
            .system_now()
            .duration_since(std::time::UNIX_EPOCH);
        since.map_or(0, |since| {
            u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
        })
    }
}
