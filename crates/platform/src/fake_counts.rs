use serde::{Deserialize, Serialize};

/// What was asked of a fake platform.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FakeCounts {
    /// The most reads within one second of the clock.
    pub peak_reads_per_second: u64,
    /// The most writes within one second of the clock.
    pub peak_writes_per_second: u64,
    /// Reads of objects and rows, also refused ones.
    pub reads: u64,
    /// Writes of objects and transactions, also refused ones.
    pub writes: u64,
}
