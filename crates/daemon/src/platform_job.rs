use medlarspool_membership::SeedRow;
use medlarspool_types::{AvailabilityZone, ConfigHead};

/// A job of the [`crate::platform_worker::PlatformWorker`].
pub(crate) enum PlatformJob {
    /// Read the head.
    ReadHead,
    /// Read the lists of a version and install them.
    ReadLists {
        /// The version and the digest of its lists.
        head: ConfigHead,
    },
    /// Read the seed rows of one availability zone, or of all.
    ReadSeedRows {
        /// The availability zone; `None` stands for all.
        availability_zone: Option<AvailabilityZone>,
    },
    /// Write a seed row if the stored one has not changed since it was read.
    WriteSeedRow {
        /// The row as it was read; `None` if there was none.
        replaces: Option<SeedRow>,
        /// The row to write.
        row: SeedRow,
    },
}
