use serde::{Deserialize, Serialize};

/// Counts of the calls to a fake platform.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FakeCounts {
    /// The highest number of reads in one window. A window lasts one second and begins with its first read.
    pub peak_reads_per_second: u64,
    /// The highest number of writes in one window, which lasts one second and begins with its first write.
    pub peak_writes_per_second: u64,
    /// Reads of objects and rows, including refused ones.
    pub reads: u64,
    /// Writes of objects and transactions, including refused ones.
    pub writes: u64,
}
