use medlarspool_membership::SeedRow;
use medlarspool_types::{AvailabilityZone, ConfigHead};

/// What the control thread asks of the thread that talks to the platform.
pub(crate) enum PlatformJob {
    /// Read the head.
    ReadHead,
    /// Read the lists of a version and put them in use.
    ReadLists {
        /// The version.
        head: ConfigHead,
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
