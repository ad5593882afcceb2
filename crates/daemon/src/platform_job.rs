use medlarspool_membership::SeedRow;
use medlarspool_types::{AvailabilityZone, ConfigHead};

/// What the control thread asks of the thread that talks to the platform.
pub(crate) enum PlatformJob {
    /// Fetch the lists if they are newer.
    Poll {
        /// The head that is held.
        held: ConfigHead,
    },
    /// Read the seed rows of one availability zone, or of all.
    ReadSeedRows {
        /// The availability zone, or nothing for all.
        availability_zone: Option<AvailabilityZone>,
    },
    /// Write a seed row if it still is as it was read.
    WriteSeedRow {
        /// The row as it was read, or nothing if there was none.
        replaces: Option<SeedRow>,
        /// The row to write.
        row: SeedRow,
    },
}
